job "canary" {
  namespace = "red"
  update {
    canary       = 1
    auto_promote = true
    health_check = "manual"
  }
  group "g" {
    task "t" {
      driver = "docker"
      config { image = "i" }
      resources { cores = 1 }
      meta { pearford_image_gb = 1 }
    }
  }
}
