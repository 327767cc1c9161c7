job "broken" {
  group "g" {
    count = = 3
  }
}
