job "gpus-summed" {
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
        cores = 4
        memory = 1024
        device "nvidia/gpu" { count = 3 }
        device "gpu" { count = 2 }
        device "nvidia/gpu" { count = 2 }
      }
    }
  }
}
