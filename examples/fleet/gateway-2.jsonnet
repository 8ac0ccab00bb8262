(import 'gateway.libsonnet')(2)
