// What the counter buys, first of three: quotas kept by it. Compare `quota` in the last lines.
import 'counter.libsonnet'
