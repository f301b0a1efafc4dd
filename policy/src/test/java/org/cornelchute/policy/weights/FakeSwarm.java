package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;

/** Agents joined by limited links in virtual time; just enough to drive {@link SwarmDecider}. */
final class FakeSwarm {

  static final int CHUNKS = 128;
  static final double DEADLINE_MILLIS = 16_000;
  private static final long TICK_MILLIS = 50;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  final Map<String, Node> nodes = new TreeMap<>();
  final Manifest manifest;
  final Random random;
  private final Set<String> unresponsive = new HashSet<>();
  double corruptShare;
  double lossShare;
  boolean originRefuses;
  final Map<String, Integer> chunksFromOtherRegions = new TreeMap<>();

  /** Agents that left and are still listed: connections to them hang until they time out. */
  final Map<String, Member> absentMembers = new TreeMap<>();

  long originChunks;
  long now;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SwarmOptions options;
  private final double originMillisPerChunk;
  private final double linkMillisPerChunk;
  private double originFreeAt;
  private long sequence;

  FakeSwarm(int agents, int regions, SwarmOptions options, long seed) {
    this(
        agents,
        regions,
        new Links(CHUNKS, DEADLINE_MILLIS / 4 / CHUNKS, DEADLINE_MILLIS / 2 / CHUNKS),
        options,
        seed);
  }

  FakeSwarm(int agents, int regions, Links links, SwarmOptions options, long seed) {
    this.options = options;
    this.random = new Random(seed);
    this.manifest = Manifest.of("m", "v1", new byte[links.chunks() * 16], 16);
    this.originMillisPerChunk = links.originMillisPerChunk();
    this.linkMillisPerChunk = links.linkMillisPerChunk();
    for (int i = 0; i < agents; i++) {
      start("a" + i, "r" + i % regions, 1);
    }
  }

  /** Starts an agent at a later time, though others have it on their list already. */
  void startAt(long when, String id, String region) {
    absentMembers.put(id, member(id, region, 1));
    schedule(
        when,
        () -> {
          absentMembers.remove(id);
          start(id, region, 1);
        });
  }

  private Member member(String id, String region, long boot) {
    return new Member(
        id, Role.AGENT, id, region, "d", "", boot, 1, false, Generation.NONE, manifest.digest());
  }

  void start(String id, String region, long boot) {
    Node n = new Node();
    n.member = member(id, region, boot);
    n.decider =
        new SwarmDecider(id, region, "r0", manifest, new BitSet(), options, random.nextLong(), now);
    nodes.put(id, n);
    scheduleTick(n);
    nodes.values().forEach(this::updateMembers);
  }

  /** Lets an agent's machine go silent: connections to it stay open and nothing comes back. */
  void makeUnresponsive(String id) {
    Node silent = nodes.remove(id);
    silent.stopped = true;
    unresponsive.add(id);
  }

  void kill(String id) {
    Node dead = nodes.remove(id);
    dead.stopped = true;
    for (Node n : nodes.values()) {
      schedule(now + 5, () -> execute(n, n.decider.onPeerLost(now, id)));
      schedule(now + 6_000, () -> updateMembers(n));
    }
  }

  /** Runs until every agent holds everything or the time is up; returns the time. */
  long run(long limitMillis) {
    while (!events.isEmpty() && now < limitMillis) {
      if (nodes.values().stream().allMatch(n -> n.completedAt >= 0)) {
        break;
      }
      step();
    }
    return now;
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().at <= millis) {
      step();
    }
    now = Math.max(now, millis);
  }

  private void step() {
    Event e = events.poll();
    now = Math.max(now, e.at);
    e.action.run();
  }

  private void scheduleTick(Node n) {
    schedule(
        now + TICK_MILLIS + random.nextInt(5),
        () -> {
          if (!n.stopped) {
            execute(n, n.decider.tick(now));
            scheduleTick(n);
          }
        });
  }

  private void updateMembers(Node n) {
    List<Member> all = new ArrayList<>();
    nodes.values().forEach(x -> all.add(x.member));
    all.addAll(absentMembers.values());
    execute(n, n.decider.onMembersChanged(now, all));
  }

  private void execute(Node n, List<SwarmEffect> effects) {
    if (n.stopped) {
      return;
    }
    for (SwarmEffect e : effects) {
      if (e instanceof SwarmEffect.Send s) {
        deliver(n, s.peer(), s.message(), now + 1 + random.nextInt(2));
      } else if (e instanceof SwarmEffect.Upload u) {
        n.uplinkFreeAt = Math.max(n.uplinkFreeAt, now) + linkMillisPerChunk * n.slowdownFactor;
        long sent = Math.round(n.uplinkFreeAt);
        schedule(
            sent,
            () -> {
              deliver(
                  n,
                  u.peer(),
                  new SwarmMessage.ChunkData(
                      manifest.digest(), u.chunk(), n.decider.queuedUploadCount(), new byte[0]),
                  now + 1);
              execute(n, n.decider.onUploadCompleted(now));
            });
      } else if (e instanceof SwarmEffect.FetchOrigin f) {
        fetch(n, f.chunk());
      } else if (e instanceof SwarmEffect.Complete) {
        n.completedAt = now;
      }
    }
  }

  private void fetch(Node n, int chunk) {
    if (originRefuses) {
      schedule(now + 2, () -> execute(n, n.decider.onOriginFailure(now, chunk)));
      return;
    }
    originChunks++;
    originFreeAt = Math.max(originFreeAt, now) + originMillisPerChunk;
    schedule(Math.round(originFreeAt) + 1, () -> deliverChunk(n, "", chunk, 0));
  }

  private void deliver(Node from, String to, SwarmMessage m, long when) {
    Node receiver = nodes.get(to);
    if (m instanceof SwarmMessage.ChunkData
        && receiver != null
        && !receiver.member.region().equals(from.member.region())) {
      chunksFromOtherRegions.merge(receiver.member.region(), 1, Integer::sum);
    }
    if (random.nextDouble() < lossShare) {
      return;
    }
    String sender = from.member.id();
    schedule(
        when,
        () -> {
          Node n = nodes.get(to);
          if (unresponsive.contains(to)) {
            return;
          }
          if (n == null) {
            long hangs = absentMembers.containsKey(to) ? CONNECT_TIMEOUT_MILLIS : 0;
            schedule(now + hangs, () -> execute(from, from.decider.onPeerLost(now, to)));
          } else if (m instanceof SwarmMessage.ChunkData c) {
            deliverChunk(n, sender, c.chunk(), c.queueLength());
          } else {
            execute(n, n.decider.onMessage(now, sender, m));
          }
        });
  }

  private void deliverChunk(Node n, String sender, int chunk, int queued) {
    n.downlinkFreeAt =
        Math.max(n.downlinkFreeAt, now - linkMillisPerChunk)
            + linkMillisPerChunk * n.slowdownFactor;
    boolean valid = random.nextDouble() >= corruptShare;
    schedule(
        Math.round(n.downlinkFreeAt),
        () -> {
          n.receivedChunks++;
          execute(n, n.decider.onChunk(now, sender, chunk, queued, valid));
        });
  }

  private void schedule(long when, Runnable action) {
    events.add(new Event(when, sequence++, action));
  }

  /**
   * Rates of a swarm.
   *
   * @param chunks chunks of the version
   * @param originMillisPerChunk time that the origin sends one chunk
   * @param linkMillisPerChunk time that one chunk takes on an agent's link, each way
   */
  record Links(int chunks, double originMillisPerChunk, double linkMillisPerChunk) {}

  static final class Node {
    /** How many times slower its link is than the others'. */
    double slowdownFactor = 1;

    Member member;
    SwarmDecider decider;
    double uplinkFreeAt;
    double downlinkFreeAt;
    long completedAt = -1;
    int receivedChunks;
    boolean stopped;
  }

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }
}
