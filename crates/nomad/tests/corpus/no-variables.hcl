variable "n" {
  type = number
}
variable "m" {
  type = number
  default = 3
  validation {
    condition = var.m > 5
    error_message = "m must be above 5"
  }
}
locals {
  a = local.b
  b = local.a
}
job "vars" {
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
        memory = 2048
      }
    }
  }
}
