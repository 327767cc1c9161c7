job "clash" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  datacenters = ["zone-a"]
  constraint {
    attribute = "${node.datacenter}"
    value = "zone-b"
  }
  constraint {
    attribute = "${node.class}"
    value = "g2"
  }
  constraint {
    attribute = "${node.class}"
    value = "g8"
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
