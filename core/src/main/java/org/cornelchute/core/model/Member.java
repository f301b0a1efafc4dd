package org.cornelchute.core.model;

/**
 * Description of a member process, issued by the process itself and distributed by gossip.
 *
 * @param id unique name of the process, from its settings
 * @param role kind of the process
 * @param address {@code ip:port} of its frame listener; probes use the same port over UDP
 * @param region region of its VM
 * @param domain failure domain of its VM
 * @param service plain service that its endpoint serves, or empty for a model engine
 * @param boot incarnation of the process: its start time in milliseconds since the epoch
 * @param revision number that increases with every change of the fields below, within one
 *     incarnation
 * @param leaving whether the process is leaving and accepts no new requests
 * @param generation generation that its endpoint serves
 * @param wants digest of the manifest of the version that it fetches or holds, or empty
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

  /** Returns whether this description replaces {@code old}: a later boot or a higher revision. */
  public boolean supersedes(Member old) {
    return boot > old.boot || (boot == old.boot && revision > old.revision);
  }

  /** Returns a copy that is marked as leaving, with the next revision. */
  public Member withLeaving() {
    return copy(revision + 1, true, generation, wants);
  }

  /** Returns a copy with another generation and wanted manifest, with the next revision. */
  public Member withGeneration(Generation newGeneration, String wantedManifest) {
    return copy(revision + 1, leaving, newGeneration, wantedManifest);
  }

  /** Returns a copy whose revision is above this one and above {@code otherRevision}. */
  public Member withRevisionAbove(long otherRevision) {
    return copy(Math.max(revision, otherRevision) + 1, leaving, generation, wants);
  }

  private Member copy(
      long newRevision, boolean newLeaving, Generation newGeneration, String newWants) {
    return new Member(
        id,
        role,
        address,
        region,
        domain,
        service,
        boot,
        newRevision,
        newLeaving,
        newGeneration,
        newWants);
  }
}
