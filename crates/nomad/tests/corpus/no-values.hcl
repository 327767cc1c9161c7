job "values" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = "big"
    pearford_gang = "yes"
    pearford_due_s = 0
  }
  priority = 101
  group "main" {
    count = 0
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 0
        memory = "much"
      }
    }
  }
}
