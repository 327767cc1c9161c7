variable "gpus" {
  type = list(number)
  default = [1, 2, 4]
}
job "dynamic" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
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
        memory = 1024
        dynamic "device" {
          for_each = var.gpus
          labels = ["nvidia/gpu"]
          content {
            count = device.value
          }
        }
      }
    }
  }
}
