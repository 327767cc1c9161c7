//! Preemption: which running work makes room for more urgent work.
