// Package rudderbench measures the system's decisions and parts beside baselines, with fixed seeds.
package rudderbench
