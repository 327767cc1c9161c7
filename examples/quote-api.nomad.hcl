# The quote service: six replicas with two GPUs each, spread over the zones.
variable "image" {
  type    = string
  default = "quote-api-31"
}

job "quote-api" {
  namespace = "red"
  priority  = 90

  spread {
    attribute = "${node.datacenter}"
  }

  update {
    max_parallel     = 2
    min_healthy_time = "10s"
    auto_revert      = true
  }

  meta {
    pearford_class    = "quote"
    pearford_image_gb = 5
  }

  group "quotes" {
    count = 6

    task "serve" {
      driver = "docker"

      config {
        image = var.image
      }

      resources {
        cores  = 4
        memory = 16384

        device "nvidia/gpu" {
          count = 1
        }
        device "gpu" {
          count = 1
        }
      }
    }
  }
}
