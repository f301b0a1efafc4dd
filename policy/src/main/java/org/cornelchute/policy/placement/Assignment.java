package org.cornelchute.policy.placement;

/**
 * What one agent is to hold.
 *
 * @param model resolved name
 * @param version label at the origin
 * @param rank position among the model's replicas, from 0; rollouts go in this order
 * @param maxUnavailable how many replicas may be away at once during a rollout
 */
public record Assignment(String model, String version, int rank, int maxUnavailable) {}
