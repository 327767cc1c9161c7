variable "replicas" {
  type    = number
  default = 6
  validation {
    condition     = var.replicas > 0 && var.replicas <= 20
    error_message = "must be from 1 to 20"
  }
}
locals {
  image = format("%s-%02d", "quote-api", 7)
}
job "quote-api" {
  namespace = "core"
  priority  = 80
  update {
    max_parallel     = 2
    min_healthy_time = "15s"
    healthy_deadline = "3m"
    auto_revert      = true
  }
  spread { attribute = "${node.datacenter}" }
  group "api" {
    count = var.replicas
    task "serve" {
      driver = "docker"
      config { image = local.image }
      meta {
        pearford_class    = "quote-api"
        pearford_image_gb = 5
      }
      resources {
        cores  = 5
        memory = 19456
        device "nvidia/gpu" { count = 1 }
      }
    }
  }
}
