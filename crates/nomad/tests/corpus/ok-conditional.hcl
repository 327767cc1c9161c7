variable "big" {
  type = bool
  default = true
}
job "cond" {
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
        cores = var.big ? 16 : 1
        memory = 1024 * (var.big ? 4 : 1)
      }
    }
  }
}
