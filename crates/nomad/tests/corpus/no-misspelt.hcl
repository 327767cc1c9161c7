job "typo" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expcted_s = 20
    owner = "me"
  }
  prioritty = 50
  group "main" {
    count = 3
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      resorces {
      }
      resources {
        cores = 2
        memory = 2048
      }
    }
  }
}
