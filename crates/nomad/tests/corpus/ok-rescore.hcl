job "rescore" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 5
    pearford_expected_s = 35
    pearford_due_s = 400
    pearford_spot = true
  }
  priority = 50
  group "main" {
    count = 22
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 6
        memory = 24576
        device "nvidia/gpu" {}
      }
    }
  }
}
