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
import org.cornelchute.core.message.ControlMessage.Rumour;
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
  public static final long PROBE_MILLIS = 1_000;

  /** Time to wait for a direct answer before others are asked to probe. */
  public static final long DIRECT_TIMEOUT_MILLIS = 300;

  /** Time that a suspect has to object. */
  public static final long SUSPICION_MILLIS = 4_000;

  /** Time that a dead member is remembered, so that late rumours do not revive it. */
  public static final long FORGET_MILLIS = 120_000;

  /**
   * Longest time that members of an unreachable region are kept. Regions lose each other for
   * minutes; one that is silent for longer has lost its members.
   */
  public static final long FREEZE_MILLIS = 900_000;

  /** Time between two looks at an unreachable region or a seed. */
  public static final long RETRY_MILLIS = 5_000;

  private static final int INDIRECT_PROBES = 3;
  private static final int RUMOURS_PER_DATAGRAM = 6;
  private static final int TRANSMIT_FACTOR = 2;

  /** Datagrams sent at once for news, before it only rides on probes. */
  private static final int FRESH_SENDS = 4;

  private static final long GOSSIP_MILLIS = 200;

  /** Time between two passes over all members. */
  private static final long EXPIRY_MILLIS = 500;

  /** Shortest time between two comparisons of whole views. */
  private static final long COMPARISON_MILLIS = 30_000;

  private static final long COMPARISON_MILLIS_PER_MEMBER = 250;

  /** Changes in one view above which they are taken for old news. */
  private static final int BULK = 64;

  private static final double UNREACHABLE_SHARE = 0.5;
  private static final int UNREACHABLE_MIN_MEMBERS = 3;

  private final Map<String, View> views = new HashMap<>();
  private final Map<String, Spreading> spreading = new LinkedHashMap<>();
  private final Set<String> unreachable = new HashSet<>();
  private final Set<String> seeds = new HashSet<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final List<String> order = new ArrayList<>();
  private final Random random;
  private Member self;
  private long configuration;
  private int freshVersionSends;
  private long nextGossip;
  private Probe probe;
  private long sequence;
  private long nextProbe;
  private long nextSeed;
  private long nextExpiry;
  private long nextComparison;
  private int recentSize = 1;

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
    List<Member> members = new ArrayList<>(views.size() + 1);
    members.add(self);
    for (View v : views.values()) {
      if (v.health != Health.DEAD) {
        members.add(v.member);
      }
    }
    return members;
  }

  /** Returns how many members are alive or suspected, this process included. */
  public int size() {
    int n = 1;
    for (View v : views.values()) {
      if (v.health != Health.DEAD) {
        n++;
      }
    }
    return n;
  }

  /** Returns the size as of the last pass over all members, without another pass. */
  public int recentSize() {
    return recentSize;
  }

  /** Finds the health of a member. */
  public Optional<Health> findHealth(String id) {
    return Optional.ofNullable(views.get(id)).map(v -> v.health);
  }

  /** Returns the regions that cannot be reached at present. */
  public Set<String> unreachableRegions() {
    return Set.copyOf(unreachable);
  }

  /** Returns everything known, for a process that has just started. */
  public List<Rumour> allRumours() {
    List<Rumour> all = new ArrayList<>();
    all.add(new Rumour(self, Health.ALIVE));
    for (View v : views.values()) {
      all.add(new Rumour(v.member, v.health));
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
    self = changed.newerThan(self) ? changed : changed.withRevisionAbove(self.revision());
    spread(self, Health.ALIVE);
    List<MembershipEffect> effects = new ArrayList<>();
    effects.add(new MembershipEffect.Changed(self, Health.ALIVE));
    return effects;
  }

  /** Takes the version of the rules in force here; news of it goes out at once. */
  public void configuration(long version) {
    configuration = version;
    freshVersionSends = FRESH_SENDS;
  }

  /** Says goodbye to some members at once; the rest learn it by gossip. */
  public List<MembershipEffect> leave(long now) {
    List<MembershipEffect> effects = announce(self.withLeaving());
    List<View> targets = new ArrayList<>(views.values());
    Collections.shuffle(targets, random);
    for (View v : targets.subList(0, Math.min(targets.size(), 2 * INDIRECT_PROBES))) {
      effects.add(constructPing(v.member, ++sequence));
    }
    return effects;
  }

  /** Advances probes and suspicions. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    checkProbe(now, effects);
    if (now >= nextProbe) {
      nextProbe = now + PROBE_MILLIS;
      beginProbe(now, effects);
    }
    if (now >= nextGossip && hasNews()) {
      nextGossip = now + GOSSIP_MILLIS;
      freshVersionSends = Math.max(0, freshVersionSends - 1);
      Member target = nextTarget();
      if (target != null) {
        effects.add(constructPing(target, ++sequence));
      }
    }
    if (now >= nextSeed) {
      nextSeed = now + RETRY_MILLIS / 2 + random.nextInt((int) RETRY_MILLIS);
      askSeed(effects);
    }
    if (now >= nextExpiry) {
      nextExpiry = now + EXPIRY_MILLIS;
      expire(now, effects);
      recentSize = size();
    }
    compareViews(now, effects);
    relays.values().removeIf(r -> now - r.since > SUSPICION_MILLIS);
    return effects;
  }

  /** Handles a probe from a peer. */
  public List<MembershipEffect> ping(long now, String address, ControlMessage.Ping m) {
    List<MembershipEffect> effects = new ArrayList<>();
    merge(now, m.rumours(), effects);
    heardFrom(now, m.from());
    effects.add(
        new MembershipEffect.Datagram(
            address,
            new ControlMessage.Ack(m.sequence(), self.id(), configuration, pick(m.from()))));
    return effects;
  }

  /** Handles an answer to a probe, own or relayed. */
  public List<MembershipEffect> ack(long now, ControlMessage.Ack m) {
    List<MembershipEffect> effects = new ArrayList<>();
    merge(now, m.rumours(), effects);
    heardFrom(now, m.from());
    if (probe != null && probe.target.equals(m.from())) {
      probe = null;
    }
    Relay relay = relays.remove(m.sequence());
    if (relay != null) {
      effects.add(
          new MembershipEffect.Datagram(
              relay.address,
              new ControlMessage.Ack(relay.sequence, m.from(), m.configuration(), pick())));
    }
    return effects;
  }

  /** Probes on behalf of a peer. */
  public List<MembershipEffect> pingRequest(
      long now, String address, ControlMessage.PingRequest m) {
    List<MembershipEffect> effects = new ArrayList<>();
    merge(now, m.rumours(), effects);
    relays.put(++sequence, new Relay(address, m.sequence(), now));
    effects.add(
        new MembershipEffect.Datagram(
            m.address(), new ControlMessage.Ping(sequence, self.id(), configuration, pick())));
    return effects;
  }

  /**
   * Takes a peer's whole view.
   *
   * <p>What a process that has just started learns in bulk is old to everybody else and is not
   * passed on; a few differences, as after a cut, are news.
   */
  public List<MembershipEffect> mergeView(long now, List<Rumour> rumours) {
    Set<String> spreadingBefore = new HashSet<>(spreading.keySet());
    List<MembershipEffect> effects = new ArrayList<>();
    merge(now, rumours, effects);
    if (effects.size() > BULK) {
      spreading.keySet().removeIf(id -> !spreadingBefore.contains(id) && !id.equals(self.id()));
    }
    return effects;
  }

  /** Takes the record of a process that asks for the members. */
  public List<MembershipEffect> join(long now, Member joined) {
    List<MembershipEffect> effects = new ArrayList<>();
    merge(now, List.of(new Rumour(joined, Health.ALIVE)), effects);
    return effects;
  }

  // Helpers

  /**
   * Asks some member for its whole view now and then: a rumour may have died out before it reached
   * everybody. The time between grows with the members, so that the bytes a second do not.
   */
  private void compareViews(long now, List<MembershipEffect> effects) {
    if (now < nextComparison) {
      return;
    }
    long interval = Math.max(COMPARISON_MILLIS, recentSize * COMPARISON_MILLIS_PER_MEMBER);
    boolean first = nextComparison == 0;
    nextComparison = now + interval / 2 + random.nextInt((int) interval);
    Member target = first ? null : nextTarget();
    if (target != null) {
      effects.add(new MembershipEffect.AskMembers(target.address()));
    }
  }

  private boolean hasNews() {
    if (freshVersionSends > 0) {
      return true;
    }
    for (Spreading s : spreading.values()) {
      if (s.sent < FRESH_SENDS) {
        return true;
      }
    }
    return false;
  }

  private void beginProbe(long now, List<MembershipEffect> effects) {
    Member target = nextTarget();
    if (target == null) {
      return;
    }
    probe = new Probe(target.id(), ++sequence, now);
    effects.add(constructPing(target, sequence));
  }

  /** Goes through the members in a random order, one round after the other. */
  private Member nextTarget() {
    for (int round = 0; round < 2; round++) {
      while (!order.isEmpty()) {
        View v = views.get(order.remove(order.size() - 1));
        if (v == null || v.health == Health.DEAD) {
          continue;
        }
        // Members of an unreachable region are probed rarely, to notice when it is back.
        if (unreachable.contains(v.member.region()) && random.nextInt(4) != 0) {
          continue;
        }
        return v.member;
      }
      order.addAll(views.keySet());
      Collections.shuffle(order, random);
    }
    return null;
  }

  private void checkProbe(long now, List<MembershipEffect> effects) {
    if (probe == null) {
      return;
    }
    View v = views.get(probe.target);
    if (v == null || v.health == Health.DEAD) {
      probe = null;
      return;
    }
    if (!probe.indirect && now - probe.since >= DIRECT_TIMEOUT_MILLIS) {
      probe.indirect = true;
      for (Member helper : helpers(v.member)) {
        effects.add(
            new MembershipEffect.Datagram(
                helper.address(),
                new ControlMessage.PingRequest(
                    probe.sequence, self.id(), v.member.address(), pick())));
      }
    }
    if (now - probe.since >= PROBE_MILLIS) {
      probe = null;
      if (v.health == Health.ALIVE) {
        change(now, v.member, Health.SUSPECT, effects);
      }
    }
  }

  private List<Member> helpers(Member target) {
    List<Member> alive = new ArrayList<>();
    for (View v : views.values()) {
      if (v.health == Health.ALIVE && !v.member.id().equals(target.id())) {
        alive.add(v.member);
      }
    }
    Collections.shuffle(alive, random);
    return alive.subList(0, Math.min(alive.size(), INDIRECT_PROBES));
  }

  private void askSeed(List<MembershipEffect> effects) {
    List<String> unknown = new ArrayList<>();
    Set<String> known = new HashSet<>();
    for (View v : views.values()) {
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
    int ask = views.isEmpty() ? INDIRECT_PROBES : 1;
    for (String s : unknown.subList(0, Math.min(unknown.size(), ask))) {
      effects.add(new MembershipEffect.AskMembers(s));
    }
  }

  private void expire(long now, List<MembershipEffect> effects) {
    updateRegions(effects);
    List<View> due = new ArrayList<>();
    for (View v : views.values()) {
      if (v.health == Health.SUSPECT && now - v.since >= SUSPICION_MILLIS) {
        due.add(v);
      }
    }
    for (View v : due) {
      boolean frozen = unreachable.contains(v.member.region()) && now - v.since < FREEZE_MILLIS;
      if (!frozen) {
        change(now, v.member, Health.DEAD, effects);
      }
    }
    views.values().removeIf(v -> v.health == Health.DEAD && now - v.since >= FORGET_MILLIS);
  }

  /** A region counts as unreachable while more than half of its members are suspected. */
  private void updateRegions(List<MembershipEffect> effects) {
    Map<String, int[]> counts = new HashMap<>();
    for (View v : views.values()) {
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
          boolean lost = c[0] >= UNREACHABLE_MIN_MEMBERS && c[1] > c[0] * UNREACHABLE_SHARE;
          if (lost && unreachable.add(region)) {
            effects.add(new MembershipEffect.RegionReachable(region, false));
          } else if (!lost && unreachable.remove(region)) {
            effects.add(new MembershipEffect.RegionReachable(region, true));
          }
        });
  }

  private void merge(long now, List<Rumour> rumours, List<MembershipEffect> effects) {
    for (Rumour r : rumours) {
      if (r.member().id().equals(self.id())) {
        refute(r, effects);
      } else if (supersedes(r)) {
        change(now, r.member(), r.health(), effects);
      }
    }
  }

  /** Objects to a rumour that this process is suspected or dead, by a higher revision. */
  private void refute(Rumour r, List<MembershipEffect> effects) {
    boolean about = r.member().boot() == self.boot() && r.member().revision() >= self.revision();
    if (r.health() != Health.ALIVE && about) {
      self = self.withRevisionAbove(r.member().revision());
      spread(self, Health.ALIVE);
      effects.add(new MembershipEffect.Changed(self, Health.ALIVE));
    }
  }

  private boolean supersedes(Rumour r) {
    View old = views.get(r.member().id());
    if (old == null) {
      return r.health() != Health.DEAD;
    }
    if (r.member().newerThan(old.member)) {
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
  private void heardFrom(long now, String id) {
    View v = views.get(id);
    if (v != null && v.health == Health.SUSPECT) {
      v.since = now;
    }
  }

  private void change(long now, Member m, Health health, List<MembershipEffect> effects) {
    View v = views.get(m.id());
    if (v == null) {
      views.put(m.id(), new View(m, health, now));
      order.add(random.nextInt(order.size() + 1), m.id());
    } else {
      v.member = m;
      v.health = health;
      v.since = now;
    }
    spread(m, health);
    effects.add(new MembershipEffect.Changed(m, health));
  }

  private void spread(Member m, Health health) {
    int times = TRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(views.size() + 1));
    spreading.remove(m.id());
    spreading.put(m.id(), new Spreading(new Rumour(m, health), times));
  }

  /** Picks rumours for a member, beginning with a suspicion about that member itself. */
  private List<Rumour> pick(String receiver) {
    View v = views.get(receiver);
    List<Rumour> picked = pick();
    if (v == null || v.health == Health.ALIVE) {
      return picked;
    }
    List<Rumour> all = new ArrayList<>(picked);
    all.add(0, new Rumour(v.member, v.health));
    return all;
  }

  /** Picks the rumours that were sent least often. */
  private List<Rumour> pick() {
    if (spreading.isEmpty()) {
      return List.of();
    }
    List<Spreading> ordered = new ArrayList<>(spreading.values());
    ordered.sort((a, b) -> Integer.compare(b.left, a.left));
    List<Rumour> picked = new ArrayList<>(RUMOURS_PER_DATAGRAM);
    for (Spreading s : ordered.subList(0, Math.min(RUMOURS_PER_DATAGRAM, ordered.size()))) {
      picked.add(s.rumour);
      s.left--;
      s.sent++;
      if (s.left <= 0) {
        spreading.remove(s.rumour.member().id());
      }
    }
    return picked;
  }

  private MembershipEffect constructPing(Member target, long number) {
    return new MembershipEffect.Datagram(
        target.address(),
        new ControlMessage.Ping(number, self.id(), configuration, pick(target.id())));
  }

  private static final class View {
    private Member member;
    private Health health;
    private long since;

    View(Member member, Health health, long since) {
      this.member = member;
      this.health = health;
      this.since = since;
    }
  }

  private static final class Spreading {
    private final Rumour rumour;
    private int left;
    private int sent;

    Spreading(Rumour rumour, int left) {
      this.rumour = rumour;
      this.left = left;
    }
  }

  private static final class Probe {
    private final String target;
    private final long sequence;
    private final long since;
    private boolean indirect;

    Probe(String target, long sequence, long since) {
      this.target = target;
      this.sequence = sequence;
      this.since = since;
    }
  }

  private record Relay(String address, long sequence, long since) {}
}
