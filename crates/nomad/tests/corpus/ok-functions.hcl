locals {
  parts = split("-", "a-b-c")
  name  = join("_", [for p in local.parts : upper(p) if p != "b"])
  sizes = { small = 1, large = 8 }
  cpus  = lookup(local.sizes, "large", 2)
  mem   = max(512, min(4096, 1024 * 3))
}
job "functions" {
  type = "batch"
  namespace = "red"
  meta {
    pearford_class = "${local.name}-${length(local.parts)}"
    pearford_image_gb = 0.5
    pearford_expected_s = floor(7.9)
  }
  
  group "main" {
    count = 3
    task "work" {
      driver = "docker"
      config {
        image = "img-1"
      }
      
      resources {
        cores = local.cpus
        memory = local.mem
      }
    }
  }
}
