job "velfit" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 6
    pearford_expected_s = 100
    pearford_gang = true
    pearford_together = true
    pearford_snapshot_every_s = 15
    pearford_snapshot_s = 4
  }
  priority = 70
  group "main" {
    count = 4
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 57
        memory = 204800
        device "gpu" { count = 8 }
      }
    }
  }
}
