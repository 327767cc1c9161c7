job "oversold" {
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
        cores = 1
        memory = 100
        memory_max = 200
      }
    }
  }
}
