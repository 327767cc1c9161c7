job "pricetrain" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 6
    pearford_expected_s = 120
    pearford_gang = "true"
    pearford_together = "true"
    pearford_snapshot_every_s = 15
    pearford_spot = "true"
  }
  priority = 60
  group "main" {
    count = 8
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 14
        memory = 52224
        device "nvidia/gpu" { count = 2 }
      }
    }
  }
}
