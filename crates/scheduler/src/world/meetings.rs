//! Two troubles at once.

#![cfg(test)]
