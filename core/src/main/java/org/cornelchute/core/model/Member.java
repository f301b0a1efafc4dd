package org.cornelchute.core.model;

/**
 * What a member process says of itself; carried by gossip.
 *
 * @param id unique name of the VM's process, from its settings
 * @param role its kind
 * @param address {@code ip:port} of its frame listener; probes go to the same port over UDP
 * @param region region it stands in
 * @param domain failure domain it stands in
 * @param service plain service that its endpoint serves, or empty for a model engine
 * @param boot incarnation of the process, in milliseconds since the epoch at its start
 * @param revision grows with every change of the fields below, within one incarnation
 * @param leaving whether it takes no new work
 * @param generation what its endpoint serves at present
 * @param wants digest of the manifest it is fetching or holding, or empty
 * @param configuration version of the rules in force there
 */
public record Member(
    String id,
    Role role,
    String address,
    String region,
    String domain,
    String service,
    long boot,
    long revision,
    boolean leaving,
    Generation generation,
    String wants,
    long configuration) {

  /** Returns whether this record supersedes {@code old}. */
  public boolean newerThan(Member old) {
    return boot > old.boot || (boot == old.boot && revision > old.revision);
  }

  /** Returns a copy that announces leaving. */
  public Member withLeaving() {
    return new Member(
        id,
        role,
        address,
        region,
        domain,
        service,
        boot,
        revision + 1,
        true,
        generation,
        wants,
        configuration);
  }

  /** Returns a copy with another generation and wish. */
  public Member withGeneration(Generation g, String wanted) {
    return new Member(
        id,
        role,
        address,
        region,
        domain,
        service,
        boot,
        revision + 1,
        leaving,
        g,
        wanted,
        configuration);
  }

  /** Returns a copy with another version of the rules. */
  public Member withConfiguration(long version) {
    return new Member(
        id,
        role,
        address,
        region,
        domain,
        service,
        boot,
        revision + 1,
        leaving,
        generation,
        wants,
        version);
  }

  /** Returns a copy whose revision supersedes {@code revision}. */
  public Member withRevisionAbove(long other) {
    return new Member(
        id,
        role,
        address,
        region,
        domain,
        service,
        boot,
        Math.max(revision, other) + 1,
        leaving,
        generation,
        wants,
        configuration);
  }
}
