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
 * Keeps one process's view of the members by probing and gossip.
 *
 * <p>Source: Das, Gupta and Motivala, "SWIM", 2002 (probe, indirect probe, suspicion, incarnation,
 * piggybacked rumours). Two additions: a region most of whose members are suspected at the same
 * time counts as unreachable and none of its members is declared dead; and every probe carries the
 * sender's version of the rules.
 */
public final class MembershipDecider {

  /** Time between two probes. */
  public static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** Time to wait for a direct answer before others are asked to probe. */
  public static final long DIRECT_PROBE_TIMEOUT_MILLIS = 300;

  /** Time that a suspect has to object. */
  public static final long SUSPICION_TIMEOUT_MILLIS = 4_000;

  /** Time that a dead member is remembered, so that late rumours do not revive it. */
  public static final long DEAD_RETENTION_MILLIS = 120_000;

  /**
   * Longest time that members of an unreachable region are kept. Regions lose each other for
   * minutes; one that is silent for longer has lost its members.
   */
  public static final long UNREACHABLE_REGION_TIMEOUT_MILLIS = 900_000;

  /** Time between two looks at an unreachable region or a seed. */
  public static final long RECONNECT_INTERVAL_MILLIS = 5_000;

  private static final int INDIRECT_PROBE_COUNT = 3;
  private static final int UPDATES_PER_DATAGRAM = 6;
  private static final int TRANSMISSION_FACTOR = 2;

  /** Datagrams sent at once for news, before it only rides on probes. */
  private static final int EAGER_SENDS = 4;

  private static final long GOSSIP_INTERVAL_MILLIS = 200;

  /** Time between two passes over all members. */
  private static final long EXPIRY_INTERVAL_MILLIS = 500;

  /** Shortest time between two comparisons of whole views. */
  private static final long MIN_SYNC_INTERVAL_MILLIS = 30_000;

  private static final long SYNC_INTERVAL_MILLIS_PER_MEMBER = 250;

  /** Changes in one view above which they are taken for old news. */
  private static final int MAX_GOSSIPED_SNAPSHOT_CHANGES = 64;

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
  private long setRulesVersion;
  private int eagerVersionSends;
  private long nextGossipAt;
  private Probe probe;
  private long sequence;
  private long nextProbeAt;
  private long nextReconnectAt;
  private long nextExpiryAt;
  private long nextSyncAt;
  private int cachedMemberCount = 1;

  /**
   * Creates a decider whose view holds only its own process.
   *
   * @param self what the process says of itself
   * @param seeds addresses to ask for members
   * @param seed seed of the random choices
   */
  public MembershipDecider(Member self, Collection<String> seeds, long seed) {
    this.self = self;
    this.random = new Random(seed);
    addSeeds(seeds);
  }

  // Accessors

  /** Returns what this process says of itself. */
  public Member self() {
    return self;
  }

  /** Returns members that are alive or suspected, this process included. */
  public List<Member> members() {
    List<Member> members = new ArrayList<>(memberStates.size() + 1);
    members.add(self);
    for (MemberState v : memberStates.values()) {
      if (v.health != Health.DEAD) {
        members.add(v.member);
      }
    }
    return members;
  }

  /** Returns how many members are alive or suspected, this process included. */
  public int memberCount() {
    int n = 1;
    for (MemberState v : memberStates.values()) {
      if (v.health != Health.DEAD) {
        n++;
      }
    }
    return n;
  }

  /** Returns the size as of the last pass over all members, without another pass. */
  public int cachedMemberCount() {
    return cachedMemberCount;
  }

  /** Finds the health of a member. */
  public Optional<Health> findHealth(String id) {
    return Optional.ofNullable(memberStates.get(id)).map(v -> v.health);
  }

  /** Returns the regions that cannot be reached at present. */
  public Set<String> unreachableRegions() {
    return Set.copyOf(unreachableRegions);
  }

  /** Returns everything known, for a process that has just started. */
  public List<MembershipUpdate> snapshot() {
    List<MembershipUpdate> all = new ArrayList<>();
    all.add(new MembershipUpdate(self, Health.ALIVE));
    for (MemberState v : memberStates.values()) {
      all.add(new MembershipUpdate(v.member, v.health));
    }
    return all;
  }

  // Inputs

  /** Adds addresses to ask for members, from settings or from the platform's list. */
  public void addSeeds(Collection<String> addresses) {
    for (String a : addresses) {
      if (!a.equals(self.address())) {
        seeds.add(a);
      }
    }
  }

  /** Replaces what this process says of itself; the new record must supersede the old one. */
  public List<MembershipEffect> announce(Member changed) {
    self = changed.supersedes(self) ? changed : changed.withRevisionAbove(self.revision());
    enqueueUpdate(self, Health.ALIVE);
    List<MembershipEffect> effects = new ArrayList<>();
    effects.add(new MembershipEffect.MemberChanged(self, Health.ALIVE));
    return effects;
  }

  /** Takes the version of the rules in force here; news of it goes out at once. */
  public void setRulesVersion(long version) {
    setRulesVersion = version;
    eagerVersionSends = EAGER_SENDS;
  }

  /** Says goodbye to some members at once; the rest learn it by gossip. */
  public List<MembershipEffect> leave(long now) {
    List<MembershipEffect> effects = announce(self.withLeaving());
    List<MemberState> targets = new ArrayList<>(memberStates.values());
    Collections.shuffle(targets, random);
    for (MemberState v : targets.subList(0, Math.min(targets.size(), 2 * INDIRECT_PROBE_COUNT))) {
      effects.add(createPing(v.member, ++sequence));
    }
    return effects;
  }

  /** Advances probes and suspicions. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
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
    relayedProbes.values().removeIf(r -> now - r.startedAt > SUSPICION_TIMEOUT_MILLIS);
    return effects;
  }

  /** Handles a probe from a peer. */
  public List<MembershipEffect> onPing(long now, String address, ControlMessage.Ping m) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, m.updates(), effects);
    extendSuspicion(now, m.from());
    effects.add(
        new MembershipEffect.SendDatagram(
            address,
            new ControlMessage.Ack(
                m.sequence(), self.id(), setRulesVersion, pickUpdates(m.from()))));
    return effects;
  }

  /** Handles an answer to a probe, own or relayed. */
  public List<MembershipEffect> onAck(long now, ControlMessage.Ack m) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, m.updates(), effects);
    extendSuspicion(now, m.from());
    if (probe != null && probe.targetId.equals(m.from())) {
      probe = null;
    }
    RelayedProbe relay = relayedProbes.remove(m.sequence());
    if (relay != null) {
      effects.add(
          new MembershipEffect.SendDatagram(
              relay.requesterAddress,
              new ControlMessage.Ack(
                  relay.requesterSequence, m.from(), m.rulesVersion(), pickUpdates())));
    }
    return effects;
  }

  /** Probes on behalf of a peer. */
  public List<MembershipEffect> onPingRequest(
      long now, String address, ControlMessage.PingRequest m) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, m.updates(), effects);
    relayedProbes.put(++sequence, new RelayedProbe(address, m.sequence(), now));
    effects.add(
        new MembershipEffect.SendDatagram(
            m.address(),
            new ControlMessage.Ping(sequence, self.id(), setRulesVersion, pickUpdates())));
    return effects;
  }

  /**
   * Takes a peer's whole view.
   *
   * <p>What a process that has just started learns in bulk is old to everybody else and is not
   * passed on; a few differences, as after a cut, are news.
   */
  public List<MembershipEffect> mergeSnapshot(long now, List<MembershipUpdate> rumours) {
    Set<String> spreadingBefore = new HashSet<>(pendingUpdates.keySet());
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, rumours, effects);
    if (effects.size() > MAX_GOSSIPED_SNAPSHOT_CHANGES) {
      pendingUpdates
          .keySet()
          .removeIf(id -> !spreadingBefore.contains(id) && !id.equals(self.id()));
    }
    return effects;
  }

  /** Takes the record of a process that asks for the members. */
  public List<MembershipEffect> onMembersRequest(long now, Member joined) {
    List<MembershipEffect> effects = new ArrayList<>();
    mergeUpdates(now, List.of(new MembershipUpdate(joined, Health.ALIVE)), effects);
    return effects;
  }

  // Helpers

  /**
   * Asks some member for its whole view now and then: a rumour may have died out before it reached
   * everybody. The time between grows with the members, so that the bytes a second do not.
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
    for (PendingUpdate s : pendingUpdates.values()) {
      if (s.sendCount < EAGER_SENDS) {
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

  /** Goes through the members in a random order, one round after the other. */
  private Member nextTarget() {
    for (int round = 0; round < 2; round++) {
      while (!targetOrder.isEmpty()) {
        MemberState v = memberStates.get(targetOrder.remove(targetOrder.size() - 1));
        if (v == null || v.health == Health.DEAD) {
          continue;
        }
        // Members of an unreachable region are probed rarely, to notice when it is back.
        if (unreachableRegions.contains(v.member.region()) && random.nextInt(4) != 0) {
          continue;
        }
        return v.member;
      }
      targetOrder.addAll(memberStates.keySet());
      Collections.shuffle(targetOrder, random);
    }
    return null;
  }

  private void checkProbeTimeouts(long now, List<MembershipEffect> effects) {
    if (probe == null) {
      return;
    }
    MemberState v = memberStates.get(probe.targetId);
    if (v == null || v.health == Health.DEAD) {
      probe = null;
      return;
    }
    if (!probe.indirect && now - probe.startedAt >= DIRECT_PROBE_TIMEOUT_MILLIS) {
      probe.indirect = true;
      for (Member helper : chooseIndirectProbers(v.member)) {
        effects.add(
            new MembershipEffect.SendDatagram(
                helper.address(),
                new ControlMessage.PingRequest(
                    probe.sequence, self.id(), v.member.address(), pickUpdates())));
      }
    }
    if (now - probe.startedAt >= PROBE_INTERVAL_MILLIS) {
      probe = null;
      if (v.health == Health.ALIVE) {
        updateMember(now, v.member, Health.SUSPECT, effects);
      }
    }
  }

  private List<Member> chooseIndirectProbers(Member target) {
    List<Member> alive = new ArrayList<>();
    for (MemberState v : memberStates.values()) {
      if (v.health == Health.ALIVE && !v.member.id().equals(target.id())) {
        alive.add(v.member);
      }
    }
    Collections.shuffle(alive, random);
    return alive.subList(0, Math.min(alive.size(), INDIRECT_PROBE_COUNT));
  }

  private void contactMissingMembers(List<MembershipEffect> effects) {
    List<String> unknown = new ArrayList<>();
    Set<String> known = new HashSet<>();
    for (MemberState v : memberStates.values()) {
      if (v.health != Health.DEAD) {
        known.add(v.member.address());
      } else if (!v.member.leaving()) {
        // Both sides of a split may have declared each other dead; someone has to ask again.
        unknown.add(v.member.address());
      }
    }
    unknown.removeIf(known::contains);
    for (String s : seeds) {
      if (!known.contains(s) && !unknown.contains(s)) {
        unknown.add(s);
      }
    }
    // A process that knows nobody asks several; one that knows members heals splits with one.
    Collections.sort(unknown);
    Collections.shuffle(unknown, random);
    int ask = memberStates.isEmpty() ? INDIRECT_PROBE_COUNT : 1;
    for (String s : unknown.subList(0, Math.min(unknown.size(), ask))) {
      effects.add(new MembershipEffect.RequestMembers(s));
    }
  }

  private void expireMembers(long now, List<MembershipEffect> effects) {
    updateUnreachableRegions(effects);
    List<MemberState> due = new ArrayList<>();
    for (MemberState v : memberStates.values()) {
      if (v.health == Health.SUSPECT && now - v.since >= SUSPICION_TIMEOUT_MILLIS) {
        due.add(v);
      }
    }
    for (MemberState v : due) {
      boolean frozen =
          unreachableRegions.contains(v.member.region())
              && now - v.since < UNREACHABLE_REGION_TIMEOUT_MILLIS;
      if (!frozen) {
        updateMember(now, v.member, Health.DEAD, effects);
      }
    }
    memberStates
        .values()
        .removeIf(v -> v.health == Health.DEAD && now - v.since >= DEAD_RETENTION_MILLIS);
  }

  /** A region counts as unreachable while more than half of its members are suspected. */
  private void updateUnreachableRegions(List<MembershipEffect> effects) {
    Map<String, int[]> counts = new HashMap<>();
    for (MemberState v : memberStates.values()) {
      if (v.health == Health.DEAD || v.member.region().equals(self.region())) {
        continue;
      }
      int[] c = counts.computeIfAbsent(v.member.region(), r -> new int[2]);
      c[0]++;
      if (v.health == Health.SUSPECT) {
        c[1]++;
      }
    }
    counts.forEach(
        (region, c) -> {
          boolean lost = c[0] >= UNREACHABLE_MIN_MEMBERS && c[1] > c[0] * UNREACHABLE_SUSPECT_SHARE;
          if (lost && unreachableRegions.add(region)) {
            effects.add(new MembershipEffect.RegionReachabilityChanged(region, false));
          } else if (!lost && unreachableRegions.remove(region)) {
            effects.add(new MembershipEffect.RegionReachabilityChanged(region, true));
          }
        });
  }

  private void mergeUpdates(
      long now, List<MembershipUpdate> rumours, List<MembershipEffect> effects) {
    for (MembershipUpdate r : rumours) {
      if (r.member().id().equals(self.id())) {
        refute(r, effects);
      } else if (supersedes(r)) {
        updateMember(now, r.member(), r.health(), effects);
      }
    }
  }

  /** Objects to a rumour that this process is suspected or dead, by a higher revision. */
  private void refute(MembershipUpdate r, List<MembershipEffect> effects) {
    boolean about = r.member().boot() == self.boot() && r.member().revision() >= self.revision();
    if (r.health() != Health.ALIVE && about) {
      self = self.withRevisionAbove(r.member().revision());
      enqueueUpdate(self, Health.ALIVE);
      effects.add(new MembershipEffect.MemberChanged(self, Health.ALIVE));
    }
  }

  private boolean supersedes(MembershipUpdate r) {
    MemberState old = memberStates.get(r.member().id());
    if (old == null) {
      return r.health() != Health.DEAD;
    }
    if (r.member().supersedes(old.member)) {
      return true;
    }
    boolean same =
        r.member().boot() == old.member.boot() && r.member().revision() == old.member.revision();
    return same && r.health().ordinal() > old.health.ordinal();
  }

  /**
   * Notes direct word from a member. A suspect gets more time: it objects by itself once a probe or
   * an answer has told it of the suspicion.
   */
  private void extendSuspicion(long now, String id) {
    MemberState v = memberStates.get(id);
    if (v != null && v.health == Health.SUSPECT) {
      v.since = now;
    }
  }

  private void updateMember(long now, Member m, Health health, List<MembershipEffect> effects) {
    MemberState v = memberStates.get(m.id());
    if (v == null) {
      memberStates.put(m.id(), new MemberState(m, health, now));
      targetOrder.add(random.nextInt(targetOrder.size() + 1), m.id());
    } else {
      v.member = m;
      v.health = health;
      v.since = now;
    }
    enqueueUpdate(m, health);
    effects.add(new MembershipEffect.MemberChanged(m, health));
  }

  private void enqueueUpdate(Member m, Health health) {
    int times =
        TRANSMISSION_FACTOR
            * (Integer.SIZE - Integer.numberOfLeadingZeros(memberStates.size() + 1));
    pendingUpdates.remove(m.id());
    pendingUpdates.put(m.id(), new PendingUpdate(new MembershipUpdate(m, health), times));
  }

  /** Picks rumours for a member, beginning with a suspicion about that member itself. */
  private List<MembershipUpdate> pickUpdates(String receiver) {
    MemberState v = memberStates.get(receiver);
    List<MembershipUpdate> picked = pickUpdates();
    if (v == null || v.health == Health.ALIVE) {
      return picked;
    }
    List<MembershipUpdate> all = new ArrayList<>(picked);
    all.add(0, new MembershipUpdate(v.member, v.health));
    return all;
  }

  /** Picks the rumours that were sent least often. */
  private List<MembershipUpdate> pickUpdates() {
    if (pendingUpdates.isEmpty()) {
      return List.of();
    }
    List<PendingUpdate> ordered = new ArrayList<>(pendingUpdates.values());
    ordered.sort((a, b) -> Integer.compare(b.remainingSends, a.remainingSends));
    List<MembershipUpdate> picked = new ArrayList<>(UPDATES_PER_DATAGRAM);
    for (PendingUpdate s : ordered.subList(0, Math.min(UPDATES_PER_DATAGRAM, ordered.size()))) {
      picked.add(s.update);
      s.remainingSends--;
      s.sendCount++;
      if (s.remainingSends <= 0) {
        pendingUpdates.remove(s.update.member().id());
      }
    }
    return picked;
  }

  private MembershipEffect createPing(Member target, long number) {
    return new MembershipEffect.SendDatagram(
        target.address(),
        new ControlMessage.Ping(number, self.id(), setRulesVersion, pickUpdates(target.id())));
  }

  private static final class MemberState {
    private Member member;
    private Health health;
    private long since;

    MemberState(Member member, Health health, long since) {
      this.member = member;
      this.health = health;
      this.since = since;
    }
  }

  private static final class PendingUpdate {
    private final MembershipUpdate update;
    private int remainingSends;
    private int sendCount;

    PendingUpdate(MembershipUpdate rumour, int left) {
      this.update = rumour;
      this.remainingSends = left;
    }
  }

  private static final class Probe {
    private final String targetId;
    private final long sequence;
    private final long startedAt;
    private boolean indirect;

    Probe(String target, long sequence, long since) {
      this.targetId = target;
      this.sequence = sequence;
      this.startedAt = since;
    }
  }

  private record RelayedProbe(String requesterAddress, long requesterSequence, long startedAt) {}
}
