job "kinds" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  constraint {
    attribute = "${attr.kernel.name}"
    value = "linux"
  }
  constraint {
    distinct_hosts = true
  }
  constraint {
    attribute = "${node.class}"
    operator = "regexp"
    value = "g.*"
  }
  constraint {
    attribute = "${node.datacenter}"
    operator = "!="
    value = "zone-a"
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
