job "dispatch" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_image_gb = 1
    pearford_expected_s = 20
  }
  parameterized {
    payload = "required"
  }
  group "main" {
    count = 3
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = 2
        memory = 2048
      }
    }
  }
}
