job "spread" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  spread {
    attribute = "${node.datacenter}"
    target "zone-a" {
      percent = 70
    }
  }
  spread {
    attribute = "${attr.rack}"
  }
  group "main" {
    count = 3
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 2
        memory = 2048
      }
    }
  }
}
