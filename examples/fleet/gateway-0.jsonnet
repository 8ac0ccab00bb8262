(import 'gateway.libsonnet')(0)
