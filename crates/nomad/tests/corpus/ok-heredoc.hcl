locals {
  class = trimspace(<<-EOT
    nightly
  EOT
  )
}
job "heredoc" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_class = local.class
    pearford_image_gb = 1
    pearford_expected_s = 5
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
