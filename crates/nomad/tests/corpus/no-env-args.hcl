job "env" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 1
  }
  group "g" {
    task "t" {
      driver = "docker"
      config {
        image   = "i"
        command = "/bin/run"
        args    = ["--fast"]
      }
      env {
        MODE = "fast"
      }
      resources { cores = 1 }
    }
  }
}
