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

/**
 * Simulation of agents with rate-limited links in virtual time, which carries out the effects of
 * one {@link SwarmDecider} per agent.
 */
final class FakeSwarm {

  static final int CHUNKS = 128;
  static final double DEADLINE_MILLIS = 16_000;
  private static final long TICK_MILLIS = 50;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  final Map<String, Node> nodes = new TreeMap<>();
  final Manifest manifest;
  final Random random;

  /** IDs of agents whose connections stay open but that receive and send nothing. */
  private final Set<String> unresponsive = new HashSet<>();

  /** IDs of running agents that do not know of the version yet. */
  private final Set<String> unaware = new HashSet<>();

  /** Share of the chunks that arrive corrupt, 0 to 1. */
  double corruptShare;

  /** Share of the messages that are lost, 0 to 1. */
  double lossShare;

  boolean originRefuses;

  /** Regions whose reads from the origin fail. */
  final Set<String> regionsWithoutOrigin = new HashSet<>();

  /** Time that each read from the origin takes in addition, as its reads share its link. */
  long originLatencyMillis;

  /** Chunks read from the origin, by reading region. */
  final Map<String, Integer> chunksFromOrigin = new TreeMap<>();

  /** Regions whose agents reach the origin but no agent of another region, and notice nothing. */
  final Set<String> cutRegions = new HashSet<>();

  /** Chunks received from agents of other regions, by receiving region. */
  final Map<String, Integer> chunksFromOtherRegions = new TreeMap<>();

  /** Listed members that are not running: connections to them fail only after a timeout. */
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

  /** Lists an agent as a member now but starts it only at a later time. */
  void startAt(long when, String id, String region) {
    absentMembers.put(id, member(id, region, 1));
    schedule(
        when,
        () -> {
          absentMembers.remove(id);
          start(id, region, 1);
        });
  }

  /** Runs an agent that ignores messages on the version before it learns of it. */
  void learnAt(long when, String id, String region) {
    startAt(when, id, region);
    unaware.add(id);
    schedule(when, () -> unaware.remove(id));
  }

  private Member member(String id, String region, long boot) {
    return new Member(
        id, Role.AGENT, id, region, "d", "", boot, 1, false, Generation.NONE, manifest.digest());
  }

  void start(String id, String region, long boot) {
    Node node = new Node();
    node.member = member(id, region, boot);
    node.decider =
        new SwarmDecider(id, region, "r0", manifest, new BitSet(), options, random.nextLong(), now);
    nodes.put(id, node);
    scheduleTick(node);
    nodes.values().forEach(this::updateMembers);
  }

  /** Makes an agent's VM unresponsive: connections to it stay open but nothing comes back. */
  void makeUnresponsive(String id) {
    Node node = nodes.remove(id);
    node.stopped = true;
    unresponsive.add(id);
  }

  /** Stops an agent; the others lose the connection at once and see it leave the list later. */
  void kill(String id) {
    Node killed = nodes.remove(id);
    killed.stopped = true;
    for (Node n : nodes.values()) {
      schedule(now + 5, () -> execute(n, n.decider.onPeerLost(now, id)));
      schedule(now + 6_000, () -> updateMembers(n));
    }
  }

  /** Ends the connection from an agent to a peer, which keeps running and notices nothing. */
  void loseConnection(String from, String to) {
    Node node = nodes.get(from);
    execute(node, node.decider.onPeerLost(now, to));
  }

  /** Runs until every agent is complete or the time limit is reached; returns the virtual time. */
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

  private void scheduleTick(Node node) {
    schedule(
        now + TICK_MILLIS + random.nextInt(5),
        () -> {
          if (!node.stopped) {
            execute(node, node.decider.tick(now));
            scheduleTick(node);
          }
        });
  }

  private void updateMembers(Node node) {
    List<Member> all = new ArrayList<>();
    nodes.values().forEach(n -> all.add(n.member));
    all.addAll(absentMembers.values());
    execute(node, node.decider.onMembersChanged(now, all));
  }

  private void execute(Node node, List<SwarmEffect> effects) {
    if (node.stopped) {
      return;
    }
    for (SwarmEffect e : effects) {
      if (e instanceof SwarmEffect.Send s) {
        deliver(node, s.peer(), s.message(), now + 1 + random.nextInt(2));
      } else if (e instanceof SwarmEffect.Upload u) {
        node.uplinkFreeAt =
            Math.max(node.uplinkFreeAt, now) + linkMillisPerChunk * node.slowdownFactor;
        long sent = Math.round(node.uplinkFreeAt);
        schedule(
            sent,
            () -> {
              deliver(
                  node,
                  u.peer(),
                  new SwarmMessage.ChunkData(
                      manifest.digest(), u.chunk(), node.decider.queuedUploadCount(), new byte[0]),
                  now + 1);
              execute(node, node.decider.onUploadCompleted(now));
            });
      } else if (e instanceof SwarmEffect.FetchOrigin f) {
        fetch(node, f.chunk());
      } else if (e instanceof SwarmEffect.Complete) {
        node.completedAt = now;
      }
    }
  }

  private void fetch(Node node, int chunk) {
    if (originRefuses || regionsWithoutOrigin.contains(node.member.region())) {
      schedule(now + 2, () -> execute(node, node.decider.onOriginFailure(now, chunk)));
      return;
    }
    originChunks++;
    chunksFromOrigin.merge(node.member.region(), 1, Integer::sum);
    originFreeAt = Math.max(originFreeAt, now) + originMillisPerChunk;
    long deliveredAt = Math.round(originFreeAt) + 1 + originLatencyMillis;
    schedule(deliveredAt, () -> deliverChunk(node, "", chunk, 0));
  }

  private void deliver(Node from, String to, SwarmMessage message, long when) {
    Node receiver = nodes.get(to);
    if (message instanceof SwarmMessage.ChunkData
        && receiver != null
        && !receiver.member.region().equals(from.member.region())) {
      chunksFromOtherRegions.merge(receiver.member.region(), 1, Integer::sum);
    }
    if (random.nextDouble() < lossShare || isCut(from, receiver)) {
      return;
    }
    String sender = from.member.id();
    schedule(
        when,
        () -> {
          Node node = nodes.get(to);
          if (unresponsive.contains(to) || unaware.contains(to)) {
            return;
          }
          if (node == null) {
            long delay = absentMembers.containsKey(to) ? CONNECT_TIMEOUT_MILLIS : 0;
            schedule(now + delay, () -> execute(from, from.decider.onPeerLost(now, to)));
          } else if (message instanceof SwarmMessage.ChunkData c) {
            deliverChunk(node, sender, c.chunk(), c.queueLength());
          } else {
            execute(node, node.decider.onMessage(now, sender, message));
          }
        });
  }

  private boolean isCut(Node from, Node to) {
    return to != null
        && !from.member.region().equals(to.member.region())
        && (cutRegions.contains(from.member.region()) || cutRegions.contains(to.member.region()));
  }

  private void deliverChunk(Node node, String sender, int chunk, int queueLength) {
    node.downlinkFreeAt =
        Math.max(node.downlinkFreeAt, now - linkMillisPerChunk)
            + linkMillisPerChunk * node.slowdownFactor;
    boolean valid = random.nextDouble() >= corruptShare;
    schedule(
        Math.round(node.downlinkFreeAt),
        () -> {
          node.receivedChunks++;
          execute(node, node.decider.onChunk(now, sender, chunk, queueLength, valid));
        });
  }

  private void schedule(long when, Runnable action) {
    events.add(new Event(when, sequence++, action));
  }

  /**
   * Size of the version and speed of the links.
   *
   * @param chunks chunks of the version
   * @param originMillisPerChunk time that the origin needs to send one chunk
   * @param linkMillisPerChunk time that one chunk takes on an agent's link, in each direction
   */
  record Links(int chunks, double originMillisPerChunk, double linkMillisPerChunk) {}

  static final class Node {
    /** Factor by which its link is slower than the links of other agents. */
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
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }
}
