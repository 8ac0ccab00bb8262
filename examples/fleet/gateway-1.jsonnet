(import 'gateway.libsonnet')(1)
