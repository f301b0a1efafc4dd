package org.cornelchute.policy.placement;

/**
 * Model version that is assigned to one agent.
 *
 * @param model resolved name of the model
 * @param version label of the version at the origin
 * @param rank position among the model's replicas, from 0; a rollout proceeds in this order
 * @param maxUnavailable maximum number of replicas that a rollout may make unavailable at a time
 */
public record Assignment(String model, String version, int rank, int maxUnavailable) {}
