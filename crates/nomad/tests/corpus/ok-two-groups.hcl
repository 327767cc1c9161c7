job "two" {
  type = "batch"
  namespace = "blue"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 10
  }
  group "first" {
    task "t" {
      driver = "podman"
      config { image = "img-1" }
      resources { cores = 1 }
    }
  }
  group "second" {
    count = 5
    meta { pearford_expected_s = 30 }
    task "t" {
      driver = "podman"
      config { image = "img-2" }
      resources { cores = 3 }
      meta { pearford_class = "heavy" }
    }
  }
}
