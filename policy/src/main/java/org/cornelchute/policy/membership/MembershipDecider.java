package org.cornelchute.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.ControlMessage.MembershipUpdate;
import org.cornelchute.core.model.Member;

/**
 * Maintains the process's view of the members by probing and gossip.
 *
 * <p>Implements SWIM (Das, Gupta and Motivala, 2002): direct and indirect probes, suspicion,
 * incarnations, and membership updates piggybacked on probes. It extends SWIM in two ways. While
 * most members of a region are suspected, the region counts as unreachable and its members are not
 * declared dead until {@link #UNREACHABLE_REGION_TIMEOUT_MILLIS} have passed. Every probe carries
 * the version of the rules in force at the sender.
 */
public final class MembershipDecider {

  /** Interval between probes, after which the target of a probe without an ack is suspected. */
  public static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** Time without an ack after which other members are asked to probe the target. */
  public static final long DIRECT_PROBE_TIMEOUT_MILLIS = 300;

  /** Time that a suspected member has to refute the suspicion before it is declared dead. */
  public static final long SUSPICION_TIMEOUT_MILLIS = 4_000;

  /** Time for which a dead member is retained, so that delayed updates do not bring it back. */
  public static final long DEAD_RETENTION_MILLIS = 120_000;

  /**
   * Time after which a suspected member of an unreachable region is declared dead. Partitions
   * between regions last minutes; if one lasts longer, the region's members are assumed to be lost.
   */
  public static final long UNREACHABLE_REGION_TIMEOUT_MILLIS = 900_000;

  /**
   * Mean interval between attempts to contact a seed that is not a known member, or a member that
   * was declared dead.
   */
  public static final long RECONNECT_INTERVAL_MILLIS = 5_000;

  private static final int INDIRECT_PROBE_COUNT = 3;
  private static final int UPDATES_PER_DATAGRAM = 6;

  /** Each update is sent this many times the binary logarithm of the number of members. */
  private static final int TRANSMISSION_FACTOR = 2;

  /**
   * Number of sends up to which a new update or rules version triggers additional pings at the
   * gossip interval; afterwards it is only piggybacked on probes and acks.
   */
  private static final int EAGER_SENDS = 4;

  private static final long GOSSIP_INTERVAL_MILLIS = 200;

  /** Interval between passes that expire suspected and dead members. */
  private static final long EXPIRY_INTERVAL_MILLIS = 500;

  /** Lower bound of the mean interval between requests for a snapshot of another member's view. */
  private static final long MIN_SYNC_INTERVAL_MILLIS = 30_000;

  private static final long SYNC_INTERVAL_MILLIS_PER_MEMBER = 250;

  /** Number of changes caused by one snapshot above which none of them is gossiped further. */
  private static final int MAX_GOSSIPED_SNAPSHOT_CHANGES = 64;

  /**
   * Time between two ticks above which this process was stopped. What it received meanwhile is
   * handled after the tick, so that the time beyond this does not count as one in which others were
   * unresponsive. The time up to this does count, so that timeouts pass even if each tick is late.
   */
  private static final long STANDSTILL_MILLIS = 500;

  private static final double UNREACHABLE_SUSPECT_SHARE = 0.5;
  private static final int UNREACHABLE_MIN_MEMBERS = 3;

  private final Map<String, MemberState> memberStates = new HashMap<>();
  private final Map<String, PendingUpdate> pendingUpdates = new LinkedHashMap<>();
  private final Set<String> unreachableRegions = new HashSet<>();
  private final Set<String> seeds = new HashSet<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private final List<String> targetOrder = new ArrayList<>();
  private final Random random;
  private Member self;
  private long rulesVersion;
  private int eagerVersionSends;
  private long nextGossipAt;
  private Probe probe;
  private long sequence;
  private long nextProbeAt;
  private long nextReconnectAt;
  private long nextExpiryAt;
  private long nextSyncAt;
  private long lastTickAt = Long.MAX_VALUE;
  private int cachedMemberCount = 1;

  /**
   * Creates a decider whose view contains only this process.
   *
   * @param self record of this process
   * @param seeds addresses from which to request the members
   * @param seed seed of the random number generator
   */
  public MembershipDecider(Member self, Collection<String> seeds, long seed) {
    this.self = self;
    this.random = new Random(seed);
    addSeeds(seeds);
  }

  // Accessors

  /** Returns the record of this process. */
  public Member self() {
    return self;
  }

  /** Returns the members that are alive or suspected, including this process. */
  public List<Member> members() {
    List<Member> members = new ArrayList<>(memberStates.size() + 1);
    members.add(self);
    for (MemberState state : memberStates.values()) {
      if (state.health != Health.DEAD) {
        members.add(state.member);
      }
    }
    return members;
  }

  /** Counts the members that are alive or suspected, including this process. */
  public int memberCount() {
    int count = 1;
    for (MemberState state : memberStates.values()) {
      if (state.health != Health.DEAD) {
        count++;
      }
    }
    return count;
  }

  /** Returns the member count as of the last expiry pass, without iterating over the members. */
  public int cachedMemberCount() {
    return cachedMemberCount;
  }

  /** Returns the health of a member, or empty if the member is unknown. */
  public Optional<Health> findHealth(String id) {
    return Optional.ofNullable(memberStates.get(id)).map(state -> state.health);
  }

  /** Returns the regions that are currently unreachable. */
  public Set<String> unreachableRegions() {
    return Set.copyOf(unreachableRegions);
  }

  /**
   * Returns the records and health of all members, including dead ones, for a process that requests
   * the members.
   */
  public List<MembershipUpdate> snapshot() {
    List<MembershipUpdate> all = new ArrayList<>();
    all.add(new MembershipUpdate(self, Health.ALIVE));
    for (MemberState state : memberStates.values()) {
      all.add(new MembershipUpdate(state.member, state.health));
    }
    return all;
  }

  // Inputs

  /**
   * Adds addresses from which to request the members. They come from the settings or from the
   * platform's list.
   */
  public void addSeeds(Collection<String> addresses) {
    for (String address : addresses) {
      if (!address.equals(self.address())) {
        seeds.add(address);
      }
    }
  }

  /**
   * Replaces the record of this process and gossips it. Its revision is raised if the record does
   * not supersede the current one.
   */
  public List<MembershipEffect> announce(Member newRecord) {
    self = newRecord.supersedes(self) ? newRecord : newRecord.withRevisionAbove(self.revision());
    enqueueUpdate(self, Health.ALIVE);
    List<MembershipEffect> effects = new ArrayList<>();
    effects.add(new MembershipEffect.MemberChanged(self, Health.ALIVE));
    return effects;
  }

  /** Sets the version of the rules in force at this process and gossips it promptly. */
  public void setRulesVersion(long version) {
    rulesVersion = version;
    eagerVersionSends = EAGER_SENDS;
  }

  /**
   * Announces that this process is leaving. Some members are notified immediately, the others by
   * gossip.
   */
  public List<MembershipEffect> leave(long now) {
    List<MembershipEffect> effects = announce(self.withLeaving());
    List<MemberState> targets = new ArrayList<>(memberStates.values());
    Collections.shuffle(targets, random);
    for (MemberState state :
        targets.subList(0, Math.min(targets.size(), 2 * INDIRECT_PROBE_COUNT))) {
      effects.add(createPing(state.member, ++sequence));
    }
    return effects;
  }

  /** Sends the probes, gossip and requests that are due, and expires suspected and dead members. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (now - lastTickAt > STANDSTILL_MILLIS) {
      extendTimeouts(now, now - lastTickAt - STANDSTILL_MILLIS);
    }
    lastTickAt = now;
    checkProbeTimeouts(now, effects);
    if (now >= nextProbeAt) {
      nextProbeAt = now + PROBE_INTERVAL_MILLIS;
      startProbe(now, effects);
    }
    if (now >= nextGossipAt && hasEagerUpdates()) {
      nextGossipAt = now + GOSSIP_INTERVAL_MILLIS;
      eagerVersionSends = Math.max(0, eagerVersionSends - 1);
      Member target = nextTarget();
      if (target != null) {
        effects.add(createPing(target, ++sequence));
      }
    }
    if (now >= nextReconnectAt) {
      nextReconnectAt =
          now + RECONNECT_INTERVAL_MILLIS / 2 + random.nextInt((int) RECONNECT_INTERVAL_MILLIS);
      contactMissingMembers(effects);
    }
    if (now >= nextExpiryAt) {
      nextExpiryAt = now + EXPIRY_INTERVAL_MILLIS;
      expireMembers(now, effects);
      cachedMemberCount = memberCount();
    }
    requestSnapshot(now, effects);
    relayedProbes.values().removeIf(relay -> now - relay.startedAt > SUSPICION_TIMEOUT_MILLIS);
    return effects;
  }

  /** Handles a probe from another member and replies with an ack. */
  public List<MembershipEffect> onPing(long now, String address, ControlMessage.Ping ping) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, ping.updates(), effects);
    extendSuspicion(now, ping.from());
    effects.add(
        new MembershipEffect.SendDatagram(
            address,
            new ControlMessage.Ack(
                ping.sequence(), self.id(), rulesVersion, pickUpdates(ping.from()))));
    return effects;
  }

  /** Handles the ack of a probe that this process sent for itself or for another member. */
  public List<MembershipEffect> onAck(long now, ControlMessage.Ack ack) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, ack.updates(), effects);
    extendSuspicion(now, ack.from());
    if (probe != null && probe.targetId.equals(ack.from())) {
      probe = null;
    }
    RelayedProbe relay = relayedProbes.remove(ack.sequence());
    if (relay != null) {
      effects.add(
          new MembershipEffect.SendDatagram(
              relay.requesterAddress,
              new ControlMessage.Ack(
                  relay.requesterSequence, ack.from(), ack.rulesVersion(), pickUpdates())));
    }
    return effects;
  }

  /** Probes a member on behalf of another member whose direct probe was not acknowledged. */
  public List<MembershipEffect> onPingRequest(
      long now, String address, ControlMessage.PingRequest request) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, request.updates(), effects);
    relayedProbes.put(++sequence, new RelayedProbe(address, request.sequence(), now));
    effects.add(
        new MembershipEffect.SendDatagram(
            request.address(),
            new ControlMessage.Ping(sequence, self.id(), rulesVersion, pickUpdates())));
    return effects;
  }

  /**
   * Merges the snapshot of another member's view.
   *
   * <p>A process that has just started learns many members at once, all of which the others already
   * know, so a large number of changes is not gossiped further. A few changes, as after a
   * partition, may be unknown to others and are gossiped.
   */
  public List<MembershipEffect> mergeSnapshot(long now, List<MembershipUpdate> updates) {
    Set<String> pendingBefore = new HashSet<>(pendingUpdates.keySet());
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, updates, effects);
    if (effects.size() > MAX_GOSSIPED_SNAPSHOT_CHANGES) {
      pendingUpdates.keySet().removeIf(id -> !pendingBefore.contains(id) && !id.equals(self.id()));
    }
    return effects;
  }

  /** Adds the process that requests the members to the view. */
  public List<MembershipEffect> onMembersRequest(long now, Member sender) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, List.of(new MembershipUpdate(sender, Health.ALIVE)), effects);
    return effects;
  }

  // Helpers

  /**
   * Periodically requests a snapshot from a random member, because an update may have stopped
   * spreading before it reached every member. The interval grows with the number of members, so
   * that the traffic per second does not.
   */
  private void requestSnapshot(long now, List<MembershipEffect> effects) {
    if (now < nextSyncAt) {
      return;
    }
    long interval =
        Math.max(MIN_SYNC_INTERVAL_MILLIS, cachedMemberCount * SYNC_INTERVAL_MILLIS_PER_MEMBER);
    boolean first = nextSyncAt == 0;
    nextSyncAt = now + interval / 2 + random.nextInt((int) interval);
    Member target = first ? null : nextTarget();
    if (target != null) {
      effects.add(new MembershipEffect.RequestMembers(target.address()));
    }
  }

  private boolean hasEagerUpdates() {
    if (eagerVersionSends > 0) {
      return true;
    }
    for (PendingUpdate pending : pendingUpdates.values()) {
      if (pending.sendCount < EAGER_SENDS) {
        return true;
      }
    }
    return false;
  }

  private void startProbe(long now, List<MembershipEffect> effects) {
    Member target = nextTarget();
    if (target == null) {
      return;
    }
    probe = new Probe(target.id(), ++sequence, now);
    effects.add(createPing(target, sequence));
  }

  /**
   * Returns the next member to contact, or null if there is none. Iterates over all members in
   * random order and reshuffles them after each round, so that every member is probed regularly.
   */
  private Member nextTarget() {
    for (int round = 0; round < 2; round++) {
      while (!targetOrder.isEmpty()) {
        MemberState state = memberStates.get(targetOrder.remove(targetOrder.size() - 1));
        if (state == null || state.health == Health.DEAD) {
          continue;
        }
        // Members of an unreachable region are probed rarely, only to detect its recovery.
        if (unreachableRegions.contains(state.member.region()) && random.nextInt(4) != 0) {
          continue;
        }
        return state.member;
      }
      targetOrder.addAll(memberStates.keySet());
      Collections.shuffle(targetOrder, random);
    }
    return null;
  }

  /** Extends the time that others have to respond by a time that this process was stopped. */
  private void extendTimeouts(long now, long standstillMillis) {
    if (probe != null) {
      probe.startedAt = Math.min(now, probe.startedAt + standstillMillis);
      nextProbeAt += standstillMillis;
    }
    for (MemberState state : memberStates.values()) {
      if (state.health == Health.SUSPECT) {
        state.since = Math.min(now, state.since + standstillMillis);
      }
    }
  }

  private void checkProbeTimeouts(long now, List<MembershipEffect> effects) {
    if (probe == null) {
      return;
    }
    MemberState state = memberStates.get(probe.targetId);
    if (state == null || state.health == Health.DEAD) {
      probe = null;
      return;
    }
    if (!probe.indirect && now - probe.startedAt >= DIRECT_PROBE_TIMEOUT_MILLIS) {
      probe.indirect = true;
      for (Member prober : chooseIndirectProbers(state.member)) {
        effects.add(
            new MembershipEffect.SendDatagram(
                prober.address(),
                new ControlMessage.PingRequest(
                    probe.sequence, self.id(), state.member.address(), pickUpdates())));
      }
    }
    if (now - probe.startedAt >= PROBE_INTERVAL_MILLIS) {
      probe = null;
      if (state.health == Health.ALIVE) {
        updateMember(now, state.member, Health.SUSPECT, effects);
      }
    }
  }

  private List<Member> chooseIndirectProbers(Member target) {
    List<Member> alive = new ArrayList<>();
    for (MemberState state : memberStates.values()) {
      if (state.health == Health.ALIVE && !state.member.id().equals(target.id())) {
        alive.add(state.member);
      }
    }
    Collections.shuffle(alive, random);
    return alive.subList(0, Math.min(alive.size(), INDIRECT_PROBE_COUNT));
  }

  private void contactMissingMembers(List<MembershipEffect> effects) {
    List<String> missing = new ArrayList<>();
    Set<String> known = new HashSet<>();
    for (MemberState state : memberStates.values()) {
      if (state.health != Health.DEAD) {
        known.add(state.member.address());
      } else if (!state.member.leaving()) {
        // After a partition both sides may have declared each other dead: contact dead members too.
        missing.add(state.member.address());
      }
    }
    missing.removeIf(known::contains);
    for (String address : seeds) {
      if (!known.contains(address) && !missing.contains(address)) {
        missing.add(address);
      }
    }
    // Without known members, several addresses are tried; otherwise one is enough to rejoin.
    Collections.sort(missing);
    Collections.shuffle(missing, random);
    int maxRequests = memberStates.isEmpty() ? INDIRECT_PROBE_COUNT : 1;
    for (String address : missing.subList(0, Math.min(missing.size(), maxRequests))) {
      effects.add(new MembershipEffect.RequestMembers(address));
    }
  }

  private void expireMembers(long now, List<MembershipEffect> effects) {
    updateUnreachableRegions(effects);
    List<MemberState> expired = new ArrayList<>();
    for (MemberState state : memberStates.values()) {
      if (state.health == Health.SUSPECT && now - state.since >= SUSPICION_TIMEOUT_MILLIS) {
        expired.add(state);
      }
    }
    for (MemberState state : expired) {
      boolean retained =
          unreachableRegions.contains(state.member.region())
              && now - state.since < UNREACHABLE_REGION_TIMEOUT_MILLIS;
      if (!retained) {
        updateMember(now, state.member, Health.DEAD, effects);
      }
    }
    memberStates
        .values()
        .removeIf(
            state -> state.health == Health.DEAD && now - state.since >= DEAD_RETENTION_MILLIS);
  }

  /**
   * Marks a region as unreachable while more than half of its members are suspected. Regions with
   * few members are excluded, and so is the region of this process. A region without members is not
   * unreachable.
   */
  private void updateUnreachableRegions(List<MembershipEffect> effects) {
    Map<String, int[]> counts = new HashMap<>();
    for (MemberState state : memberStates.values()) {
      if (state.health == Health.DEAD || state.member.region().equals(self.region())) {
        continue;
      }
      int[] totalAndSuspected = counts.computeIfAbsent(state.member.region(), r -> new int[2]);
      totalAndSuspected[0]++;
      if (state.health == Health.SUSPECT) {
        totalAndSuspected[1]++;
      }
    }
    for (String region : List.copyOf(unreachableRegions)) {
      counts.putIfAbsent(region, new int[2]);
    }
    counts.forEach(
        (region, totalAndSuspected) -> {
          boolean nowUnreachable =
              totalAndSuspected[0] >= UNREACHABLE_MIN_MEMBERS
                  && totalAndSuspected[1] > totalAndSuspected[0] * UNREACHABLE_SUSPECT_SHARE;
          if (nowUnreachable && unreachableRegions.add(region)) {
            effects.add(new MembershipEffect.RegionReachabilityChanged(region, false));
          } else if (!nowUnreachable && unreachableRegions.remove(region)) {
            effects.add(new MembershipEffect.RegionReachabilityChanged(region, true));
          }
        });
  }

  private void mergeUpdates(
      long now, List<MembershipUpdate> updates, List<MembershipEffect> effects) {
    for (MembershipUpdate update : updates) {
      if (update.member().id().equals(self.id())) {
        refute(update, effects);
      } else if (supersedes(update)) {
        updateMember(now, update.member(), update.health(), effects);
      }
    }
  }

  /** Refutes an update that reports this process as suspected or dead, by a higher revision. */
  private void refute(MembershipUpdate update, List<MembershipEffect> effects) {
    boolean matchesOrSupersedesSelf =
        update.member().boot() == self.boot() && update.member().revision() >= self.revision();
    if (update.health() != Health.ALIVE && matchesOrSupersedesSelf) {
      self = self.withRevisionAbove(update.member().revision());
      enqueueUpdate(self, Health.ALIVE);
      effects.add(new MembershipEffect.MemberChanged(self, Health.ALIVE));
    }
  }

  private boolean supersedes(MembershipUpdate update) {
    MemberState known = memberStates.get(update.member().id());
    if (known == null) {
      return update.health() != Health.DEAD;
    }
    if (update.member().supersedes(known.member)) {
      return true;
    }
    boolean sameRecord =
        update.member().boot() == known.member.boot()
            && update.member().revision() == known.member.revision();
    return sameRecord && update.health().ordinal() > known.health.ordinal();
  }

  /**
   * Restarts the suspicion timeout of a suspected member that has sent a message. The member
   * refutes the suspicion itself once a probe or an ack has informed it of the suspicion.
   */
  private void extendSuspicion(long now, String id) {
    MemberState state = memberStates.get(id);
    if (state != null && state.health == Health.SUSPECT) {
      state.since = now;
    }
  }

  private void updateMember(
      long now, Member member, Health health, List<MembershipEffect> effects) {
    MemberState state = memberStates.get(member.id());
    if (state == null) {
      memberStates.put(member.id(), new MemberState(member, health, now));
      targetOrder.add(random.nextInt(targetOrder.size() + 1), member.id());
    } else {
      state.member = member;
      state.health = health;
      state.since = now;
    }
    enqueueUpdate(member, health);
    effects.add(new MembershipEffect.MemberChanged(member, health));
  }

  private void enqueueUpdate(Member member, Health health) {
    int sends =
        TRANSMISSION_FACTOR
            * (Integer.SIZE - Integer.numberOfLeadingZeros(memberStates.size() + 1));
    pendingUpdates.remove(member.id());
    pendingUpdates.put(member.id(), new PendingUpdate(new MembershipUpdate(member, health), sends));
  }

  /**
   * Picks updates for a receiver. If this view holds the receiver for suspected or dead, that
   * update comes first, so that the receiver can refute it.
   */
  private List<MembershipUpdate> pickUpdates(String receiver) {
    MemberState state = memberStates.get(receiver);
    List<MembershipUpdate> picked = pickUpdates();
    if (state == null || state.health == Health.ALIVE) {
      return picked;
    }
    List<MembershipUpdate> all = new ArrayList<>(picked);
    all.add(0, new MembershipUpdate(state.member, state.health));
    return all;
  }

  /** Picks the updates with the most sends remaining and counts the send. */
  private List<MembershipUpdate> pickUpdates() {
    if (pendingUpdates.isEmpty()) {
      return List.of();
    }
    List<PendingUpdate> byRemainingSends = new ArrayList<>(pendingUpdates.values());
    byRemainingSends.sort((a, b) -> Integer.compare(b.remainingSends, a.remainingSends));
    List<MembershipUpdate> picked = new ArrayList<>(UPDATES_PER_DATAGRAM);
    for (PendingUpdate pending :
        byRemainingSends.subList(0, Math.min(UPDATES_PER_DATAGRAM, byRemainingSends.size()))) {
      picked.add(pending.update);
      pending.remainingSends--;
      pending.sendCount++;
      if (pending.remainingSends <= 0) {
        pendingUpdates.remove(pending.update.member().id());
      }
    }
    return picked;
  }

  private MembershipEffect createPing(Member target, long pingSequence) {
    return new MembershipEffect.SendDatagram(
        target.address(),
        new ControlMessage.Ping(pingSequence, self.id(), rulesVersion, pickUpdates(target.id())));
  }

  private static final class MemberState {
    private Member member;
    private Health health;

    /** Time of the last change, or of the last message received while the member is suspected. */
    private long since;

    MemberState(Member member, Health health, long since) {
      this.member = member;
      this.health = health;
      this.since = since;
    }
  }

  /** An update that is still being gossiped. */
  private static final class PendingUpdate {
    private final MembershipUpdate update;
    private int remainingSends;
    private int sendCount;

    PendingUpdate(MembershipUpdate update, int remainingSends) {
      this.update = update;
      this.remainingSends = remainingSends;
    }
  }

  private static final class Probe {
    private final String targetId;
    private final long sequence;
    private long startedAt;
    private boolean indirect;

    Probe(String targetId, long sequence, long startedAt) {
      this.targetId = targetId;
      this.sequence = sequence;
      this.startedAt = startedAt;
    }
  }

  /** A probe sent on behalf of another member, to which the ack is forwarded. */
  private record RelayedProbe(String requesterAddress, long requesterSequence, long startedAt) {}
}
