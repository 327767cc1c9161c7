job "forecast" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 6
    pearford_expected_s = 60
    pearford_snapshot_every_s = 20
    pearford_spot = true
  }
  
  group "main" {
    count = 17
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 6
        memory = 24576
        device "nvidia/gpu" { count = 1 }
      }
    }
  }
}
