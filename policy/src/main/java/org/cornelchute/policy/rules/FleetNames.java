package org.cornelchute.policy.rules;

/** Names with a fleet, {@code fleet/name}; the fleet is optional if the name is unambiguous. */
public final class FleetNames {

  private FleetNames() {}

  /** Returns the name without its fleet. */
  public static String withoutFleet(String name) {
    return name.substring(name.indexOf('/') + 1);
  }

  /** Returns whether the name includes its fleet. */
  public static boolean hasFleet(String name) {
    return name.indexOf('/') > 0;
  }
}
