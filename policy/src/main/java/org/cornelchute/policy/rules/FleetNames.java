package org.cornelchute.policy.rules;

/** Names of the two fleets: {@code fleet/name}, or bare where only one fleet has the name. */
public final class FleetNames {

  private FleetNames() {}

  /** Returns the part behind the fleet. */
  public static String withoutFleet(String name) {
    return name.substring(name.indexOf('/') + 1);
  }

  /** Returns whether the name says its fleet. */
  public static boolean hasFleet(String name) {
    return name.indexOf('/') > 0;
  }
}
