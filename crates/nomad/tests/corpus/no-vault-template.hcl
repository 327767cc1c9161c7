job "secrets" {
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
      vault {
        policies = ["x"]
      }
      template {
        data = "x"
      }
      artifact {
        source = "http://x"
      }
      resources {
        cores = 2
        memory = 2048
      }
    }
  }
}
