package org.cornelchute.policy.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
import org.cornelchute.policy.weights.LoadDecider.Engine;

/**
 * Agents and their engines in virtual time, from the assignment of a version to its load.
 *
 * <p>Unlike {@link FakeSwarm}, links are queues that chunks and messages of all versions pass in
 * order: the link of each agent in both directions, that of the origin and those between regions.
 */
final class FakeFleet {

  static final int CHUNKS = 64;
  static final int CHUNK_BYTES = 32_768;

  /** Bytes of a message without a chunk, with the digest of its manifest and headers. */
  private static final int MESSAGE_BYTES = 160;

  private static final int MANIFEST_BYTES = 4_600;
  private static final double BYTES_PER_MILLI_PER_MBIT = 125.0;

  /** Share of an agent's link that chunks may use, as in the agent's daemon. */
  private static final double LINK_UTILIZATION = 0.93;

  private static final double REGION_LATENCY_MILLIS = 2.8;
  private static final double DOMAIN_LATENCY_MILLIS = 1.4;
  private static final long TICK_MILLIS = 50;
  private static final long POLL_MILLIS = 120;

  /** Time in which an entry stores the first sighting of a version and agents read it. */
  private static final int MIN_LEARN_MILLIS = 50;

  private static final int MAX_LEARN_MILLIS = 200;

  /** Duration of a write and read-back of all chunks at the engine on the same VM. */
  private static final long STAGING_MILLIS = 100;

  /** Time from the acceptance of a load until the engine has ended its calls and loaded. */
  private static final long LOAD_MILLIS = 1_500;

  final Map<String, Node> nodes = new TreeMap<>();

  /** Chunks received over links between regions, by version and receiving region. */
  final Map<Long, Map<String, Integer>> imports = new TreeMap<>();

  /** Chunks read from the origin, by version. */
  final Map<Long, Integer> originChunks = new TreeMap<>();

  long now;

  private final Random random;
  private final SwarmOptions options;
  private final LoadDecider.LoadOptions loadOptions;
  private final Map<Long, Manifest> manifests = new HashMap<>();
  private final Map<String, Link> regionLinks = new HashMap<>();
  private final Link originLink;
  private final double regionMbps;
  private final List<Member> members = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private long eventCount;

  FakeFleet(
      int agents,
      int regions,
      Rates rates,
      SwarmOptions options,
      LoadDecider.LoadOptions loadOptions,
      long seed) {
    this.random = new Random(seed);
    this.options = options;
    this.loadOptions = loadOptions;
    this.regionMbps = rates.regionMbps();
    this.originLink = new Link(rates.originMbps());
    for (int i = 0; i < agents; i++) {
      String id = "a" + i;
      String region = "r" + i % regions;
      Member member =
          new Member(id, Role.AGENT, id, region, "d", "", 1, 1, false, Generation.NONE, "");
      members.add(member);
      nodes.put(id, new Node(member, rates.agentMbps()));
    }
    for (Node node : nodes.values()) {
      SwitchRank rank = new SwitchRank(node.member.id(), node.member.region());
      rank.setModel("m");
      rank.setAgents(
          members.stream()
              .filter(m -> m.region().equals(node.member.region()))
              .map(Member::id)
              .toList());
      node.loads.setRank(rank.value());
      node.loads.onStart(0);
      node.loads.onVersionAssigned(0, 1, 3_600_000);
      node.loads.onEngineReport(0, node.report());
      node.loads.onVersionComplete(0, 1);
      scheduleTick(node);
      schedulePoll(node);
    }
  }

  /** Assigns a version now, whose chunks all differ from those of the versions before. */
  void assign(long version) {
    byte[] content = new byte[CHUNKS * 16];
    new Random(version).nextBytes(content);
    manifests.put(version, Manifest.of("m", Long.toString(version), content, 16));
    imports.put(version, new TreeMap<>());
    long assignedAt = now;
    for (Node node : nodes.values()) {
      long learnedAt = now + MIN_LEARN_MILLIS + random.nextInt(MAX_LEARN_MILLIS - MIN_LEARN_MILLIS);
      schedule(
          learnedAt,
          () -> {
            node.times(version).learnedAt = now;
            execute(node, node.loads.onVersionAssigned(now, version, now - assignedAt));
          });
    }
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().at <= millis) {
      Event event = events.poll();
      now = Math.max(now, event.at);
      event.action.run();
    }
    now = Math.max(now, millis);
  }

  /** Returns the sorted times of a step at all agents. */
  List<Long> times(long version, java.util.function.ToLongFunction<Times> step) {
    return nodes.values().stream()
        .map(n -> step.applyAsLong(n.times(version)))
        .map(at -> at < 0 ? Long.MAX_VALUE : at)
        .sorted()
        .toList();
  }

  private void scheduleTick(Node node) {
    schedule(
        now + TICK_MILLIS - 2 + random.nextInt(5),
        () -> {
          for (Map.Entry<Long, SwarmDecider> e : List.copyOf(node.swarms.entrySet())) {
            executeSwarm(node, e.getKey(), e.getValue().tick(now));
          }
          scheduleTick(node);
        });
  }

  private void schedulePoll(Node node) {
    schedule(
        now + POLL_MILLIS - 5 + random.nextInt(10),
        () -> {
          execute(node, node.loads.onEngineReport(now, node.report()));
          schedulePoll(node);
        });
  }

  // Loads

  private void execute(Node node, Collection<LoadEffect> effects) {
    for (LoadEffect effect : effects) {
      if (effect instanceof LoadEffect.Fetch fetch) {
        readManifest(node, fetch.version());
      } else if (effect instanceof LoadEffect.Drop drop) {
        node.swarms.remove(drop.version());
      } else if (effect instanceof LoadEffect.Stage stage) {
        schedule(
            now + STAGING_MILLIS,
            () -> {
              node.times(stage.version()).stagedAt = now;
              Evidence evidence = new Evidence(now - STAGING_MILLIS / 2, now, now, 64, 64);
              execute(node, node.loads.onStagingVerified(now, stage.stagingId(), evidence));
            });
      } else if (effect instanceof LoadEffect.RecheckStaging recheck) {
        schedule(
            now + STAGING_MILLIS,
            () ->
                execute(
                    node,
                    node.loads.onStagingRechecked(now, recheck.stagingId(), Set.of(), Set.of())));
      } else if (effect instanceof LoadEffect.StartLoad load) {
        startLoad(node, load.version());
      } else if (effect instanceof LoadEffect.AnnounceLoaded loaded) {
        node.times(loaded.version()).loadedAt = now;
      }
    }
  }

  private void startLoad(Node node, long version) {
    node.times(version).orderedAt = now;
    node.sequence++;
    node.busy = true;
    schedule(now + 3, () -> execute(node, node.loads.onLoadResponse(now, LoadResponse.ACCEPTED)));
    schedule(
        now + LOAD_MILLIS,
        () -> {
          node.busy = false;
          node.version = version;
        });
  }

  private void readManifest(Node node, long version) {
    double sentAt = originLink.send(now + latency(node, "r0"), MANIFEST_BYTES);
    double receivedAt = node.down.send(sentAt + latency(node, "r0"), MANIFEST_BYTES);
    schedule(
        receivedAt,
        () -> {
          node.times(version).manifestAt = now;
          Manifest manifest = manifests.get(version);
          SwarmDecider swarm =
              new SwarmDecider(
                  node.member.id(),
                  node.member.region(),
                  "r0",
                  manifest,
                  new BitSet(),
                  options,
                  random.nextLong(),
                  now);
          node.swarms.put(version, swarm);
          executeSwarm(node, version, swarm.onMembersChanged(now, members));
        });
  }

  // Chunk exchange

  private void executeSwarm(Node node, long version, List<SwarmEffect> effects) {
    for (SwarmEffect effect : effects) {
      if (effect instanceof SwarmEffect.Send send) {
        Node to = nodes.get(send.peer());
        schedule(
            transmit(node, to, now, MESSAGE_BYTES),
            () -> deliver(to, version, node, send.message()));
      } else if (effect instanceof SwarmEffect.Upload upload) {
        upload(node, version, upload);
      } else if (effect instanceof SwarmEffect.FetchOrigin fetch) {
        fetchFromOrigin(node, version, fetch.chunk());
      } else if (effect instanceof SwarmEffect.Complete) {
        node.times(version).completeAt = now;
        execute(node, node.loads.onVersionComplete(now, version));
      }
    }
  }

  private void upload(Node node, long version, SwarmEffect.Upload upload) {
    double startAt = Math.max(now, node.uploadFreeAt);
    node.uploadFreeAt = startAt + CHUNK_BYTES / (node.up.bytesPerMilli * LINK_UTILIZATION);
    Node to = nodes.get(upload.peer());
    schedule(
        startAt,
        () -> {
          if (!node.member.region().equals(to.member.region())) {
            imports.get(version).merge(to.member.region(), 1, Integer::sum);
          }
          SwarmDecider swarm = node.swarms.get(version);
          int queueLength = swarm == null ? 0 : swarm.queuedUploadCount();
          schedule(
              transmit(node, to, now, CHUNK_BYTES),
              () -> deliverChunk(to, version, node.member.id(), upload.chunk(), queueLength));
        });
    schedule(
        node.uploadFreeAt,
        () -> {
          SwarmDecider swarm = node.swarms.get(version);
          if (swarm != null) {
            executeSwarm(node, version, swarm.onUploadCompleted(now));
          }
        });
  }

  private void fetchFromOrigin(Node node, long version, int chunk) {
    originChunks.merge(version, 1, Integer::sum);
    double sentAt = originLink.send(now + latency(node, "r0"), CHUNK_BYTES);
    double receivedAt = node.down.send(sentAt + latency(node, "r0"), CHUNK_BYTES);
    schedule(receivedAt, () -> deliverChunk(node, version, "", chunk, 0));
  }

  private void deliver(Node node, long version, Node from, SwarmMessage message) {
    SwarmDecider swarm = node.swarms.get(version);
    if (swarm != null) {
      executeSwarm(node, version, swarm.onMessage(now, from.member.id(), message));
    }
  }

  private void deliverChunk(Node node, long version, String from, int chunk, int queueLength) {
    SwarmDecider swarm = node.swarms.get(version);
    if (swarm == null) {
      return;
    }
    Times times = node.times(version);
    times.received++;
    times.firstChunkAt = times.firstChunkAt < 0 ? now : times.firstChunkAt;
    executeSwarm(node, version, swarm.onChunk(now, from, chunk, queueLength, true));
    if (swarm.heldChunkCount() * 2 >= CHUNKS && times.halfAt < 0) {
      times.halfAt = now;
    }
  }

  /** Passes bytes over the links between two agents; returns the time of their arrival. */
  private double transmit(Node from, Node to, double at, int bytes) {
    String fromRegion = from.member.region();
    String toRegion = to.member.region();
    double sentAt = from.up.send(at, bytes);
    if (!fromRegion.equals(toRegion)) {
      Link link =
          regionLinks.computeIfAbsent(fromRegion + " " + toRegion, k -> new Link(regionMbps));
      sentAt = link.send(sentAt, bytes);
    }
    double reachedAt = sentAt + latency(from, toRegion);
    // The receiving link starts with the first byte, the sending one ends with the last.
    return to.down.send(reachedAt - bytes / to.down.bytesPerMilli, bytes);
  }

  private static double latency(Node node, String region) {
    return node.member.region().equals(region) ? DOMAIN_LATENCY_MILLIS : REGION_LATENCY_MILLIS;
  }

  private void schedule(double when, Runnable action) {
    events.add(new Event((long) Math.ceil(when), eventCount++, action));
  }

  /** Rates of the links in Mbit/s; those between regions are for each pair and direction. */
  record Rates(double agentMbps, double originMbps, double regionMbps) {}

  /** A link that sends bytes in order. */
  static final class Link {

    final double bytesPerMilli;
    double freeAt;
    double busyMillis;

    Link(double mbps) {
      bytesPerMilli = mbps * BYTES_PER_MILLI_PER_MBIT;
    }

    /** Returns the time at which bytes that are ready at a time have been sent. */
    double send(double readyAt, int bytes) {
      double duration = bytes / bytesPerMilli;
      freeAt = Math.max(freeAt, readyAt) + duration;
      busyMillis += duration;
      return freeAt;
    }
  }

  /** Times of the steps of a version at an agent, negative for steps not taken. */
  static final class Times {
    long learnedAt = -1;
    long manifestAt = -1;
    long firstChunkAt = -1;
    long halfAt = -1;
    long completeAt = -1;
    long stagedAt = -1;
    long orderedAt = -1;
    long loadedAt = -1;
    int received;
  }

  /** An agent and its engine. */
  final class Node {
    final Member member;
    final Link up;
    final Link down;
    final LoadDecider loads = new LoadDecider(loadOptions);
    final Map<Long, SwarmDecider> swarms = new LinkedHashMap<>();
    private final Map<Long, Times> timesByVersion = new TreeMap<>();
    private double uploadFreeAt;
    private long version = 1;
    private long sequence;
    private boolean busy;

    Node(Member member, double mbps) {
      this.member = member;
      this.up = new Link(mbps);
      this.down = new Link(mbps);
    }

    Times times(long ofVersion) {
      return timesByVersion.computeIfAbsent(ofVersion, v -> new Times());
    }

    private Engine report() {
      return new Engine(true, 1, version, busy, sequence);
    }
  }

  private record Event(long at, long number, Runnable action) {}
}
