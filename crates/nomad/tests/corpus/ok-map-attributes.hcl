job "maps" {
  type = "batch"
  namespace = "red"
  meta = {
    pearford_image_gb   = "2"
    "pearford_expected_s" = "9"
  }
  group "g" {
    task "t" {
      driver = "docker"
      config = { image = "img-1" }
      resources {
        cores = 1
      }
    }
  }
}
