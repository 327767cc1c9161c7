job "constrained" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  constraint {
    attribute = "${node.datacenter}"
    value = "zone-b"
  }
  group "main" {
    count = 1
    constraint {
      attribute = "${node.class}"
      operator = "set_contains_any"
      value = "g8, g2"
    }
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      constraint {
        attribute = "${node.class}"
        operator = "="
        value = "g2"
      }
      resources {
        cores = 2
        memory = 2048
      }
    }
  }
}
