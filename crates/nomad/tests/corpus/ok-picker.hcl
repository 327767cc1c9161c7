# Live arrival picking: production replicas in every zone.
job "picker" {
  type      = "service"
  namespace = "duty-desk"
  priority  = 95
  spread {
    attribute = "${node.datacenter}"
    weight    = 100
  }
  group "pickers" {
    count = 3
    task "pick" {
      driver = "docker"
      config { image = "picker-7" }
      resources {
        cores  = 5
        memory = 19456
        device "nvidia/gpu" { count = 1 }
      }
      meta { pearford_image_gb = "5" }
    }
  }
}
