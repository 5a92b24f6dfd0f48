package main

func playKind(w *world, trouble bool) verdict { return nil }
