job "limited" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  
  group "main" {
    count = 1
    restart {
      attempts = 2
      interval = "30m"
      mode = "fail"
    }
    reschedule {
      attempts = 0
      unlimited = false
    }
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
