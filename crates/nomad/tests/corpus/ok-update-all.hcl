job "rolled" {
  namespace = "red"
  update {
    max_parallel      = 0
    health_check      = "task_states"
    min_healthy_time  = "1m30s"
    healthy_deadline  = "10m"
    progress_deadline = "0s"
  }
  group "g" {
    count = 4
    update { max_parallel = 1 }
    task "t" {
      driver = "docker"
      config { image = "img-1" }
      resources { cores = 1 }
      meta { pearford_image_gb = 1 }
    }
  }
}
