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
    String wants) {

  /** Returns whether this record supersedes {@code old}. */
  public boolean supersedes(Member old) {
    return boot > old.boot || (boot == old.boot && revision > old.revision);
  }

  /** Returns a copy that announces leaving. */
  public Member withLeaving() {
    return copy(revision + 1, true, generation, wants);
  }

  /** Returns a copy with another generation and wish. */
  public Member withGeneration(Generation g, String wanted) {
    return copy(revision + 1, leaving, g, wanted);
  }

  /** Returns a copy whose revision supersedes {@code other}. */
  public Member withRevisionAbove(long other) {
    return copy(Math.max(revision, other) + 1, leaving, generation, wants);
  }

  private Member copy(long newRevision, boolean nowLeaving, Generation g, String wanted) {
    return new Member(
        id, role, address, region, domain, service, boot, newRevision, nowLeaving, g, wanted);
  }
}
