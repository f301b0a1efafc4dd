package org.cornelchute.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.duty.Duty;
import org.cornelchute.core.duty.Overflow;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.frame.FrameClient;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.util.LinkLimiter;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmDecider;
import org.cornelchute.policy.weights.SwarmEffect;
import org.cornelchute.policy.weights.SwarmOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The duty that fetches, verifies, keeps and hands on weights.
 *
 * <p>Chunks are verified before they are kept, so that a version counts as held only when every
 * chunk matches its digest. The newest two versions are kept: the one being fetched, and the one
 * before, from which unchanged chunks are reused and which others may still be fetching.
 */
public final class WeightsDuty implements Service {

  private static final Logger LOG = LoggerFactory.getLogger(WeightsDuty.class);
  private static final int RING_CAPACITY = 1 << 14;
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final int CORRUPT_CHUNKS_PER_REPORT = 3;
  private static final int MAX_VERSIONS = 2;
  private static final long PROGRESS_LOG_INTERVAL_MILLIS = 1_000;

  private final Options options;
  private final ChunkSource origin;
  private final LongSupplier clockMillis;
  private final long seed;
  private final Listener listener;
  private final FrameClient frameClient;
  private final Duty<Runnable> duty;
  private final LinkLimiter uplink;
  private final LinkLimiter downlink;
  private final Scheduler timer = Schedulers.newSingle("link", true);
  private final Map<String, HeldVersion> versionByDigest = new LinkedHashMap<>();
  private final Map<String, String> peerByAddress = new ConcurrentHashMap<>();
  private final Meter originBytesMeter;
  private final Meter peerBytesMeter;
  private final Meter corruptChunksMeter;
  private volatile int heldChunkCount;
  private volatile int totalChunkCount;
  private Collection<Member> members = List.of();
  private Set<String> membersWithNewestVersion = Set.of();
  private String newestDigest = "";
  private long progressLoggedAt;

  /**
   * Creates a duty; {@link #start()} starts its thread.
   *
   * @param place who and where the agent is, and its limits
   * @param origin where chunks are read that no other agent has
   * @param seed seed of the random choices
   */
  public WeightsDuty(
      Options place,
      MessageCodec codec,
      ChunkSource origin,
      LongSupplier clock,
      long seed,
      Listener listener,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.options = place;
    this.origin = origin;
    this.clockMillis = clock;
    this.seed = seed;
    this.listener = listener;
    this.frameClient = new FrameClient(place.memberId(), codec, new PeerConnectionListener());
    this.uplink = new LinkLimiter(place.linkBytesPerSecond());
    this.downlink = new LinkLimiter(place.linkEnforcesRate() ? 0 : place.linkBytesPerSecond());
    this.originBytesMeter = metrics.meter("weights.origin.bytes");
    this.peerBytesMeter = metrics.meter("weights.peer.bytes");
    this.corruptChunksMeter = metrics.meter("weights.corrupt.chunks");
    metrics.register("weights.chunks.held", (Gauge<Integer>) () -> heldChunkCount);
    metrics.register("weights.chunks.all", (Gauge<Integer>) () -> totalChunkCount);
    this.duty =
        new Duty<>(
            "weights",
            RING_CAPACITY,
            Overflow.WAIT,
            TICK_INTERVAL_MILLIS,
            new Duty.Handler<>() {
              @Override
              public void handle(Runnable message) {
                message.run();
              }

              @Override
              public void tick() {
                WeightsDuty.this.tick();
              }

              @Override
              public boolean isIdle() {
                return versionByDigest.values().stream().allMatch(v -> v.decider.isComplete());
              }
            },
            metrics,
            fatal);
  }

  @Override
  public void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
    frameClient.close();
    timer.dispose();
  }

  /** Starts to fetch a version. */
  public void startFetch(Manifest manifest) {
    duty.offer(() -> startVersion(manifest));
  }

  /** Fetches a version no further and forgets its chunks. */
  public void dropVersion(Manifest manifest) {
    duty.offer(() -> versionByDigest.remove(manifest.digest()));
  }

  /**
   * Takes the members, of which those count that want the same version.
   *
   * @param view members alive or suspected
   * @param sharing ids of members that are assigned the newest version too; placement is computed
   *     alike everywhere, so they are known before they say themselves what they want
   */
  public void updateMembers(Collection<Member> view, Set<String> sharing) {
    duty.offer(
        () -> {
          members = view;
          membersWithNewestVersion = sharing;
          for (HeldVersion v : new ArrayList<>(versionByDigest.values())) {
            execute(
                v,
                v.decider.onMembersChanged(
                    clockMillis.getAsLong(), membersWanting(v.manifest.digest())));
          }
        });
  }

  /** Hands a whole, verified version to a consumer; nothing happens if it is not whole. */
  public void withCompleteVersion(String digest, Consumer<List<byte[]>> consumer) {
    duty.offer(
        () -> {
          HeldVersion v = versionByDigest.get(digest);
          if (v != null && v.decider.isComplete()) {
            consumer.accept(v.allChunks());
          }
        });
  }

  /** Takes a chunk that was found on this VM; it counts only if it verifies and is missing. */
  public void addLocalChunk(Manifest manifest, int chunk, byte[] bytes) {
    duty.offer(
        () -> {
          HeldVersion v = versionByDigest.get(manifest.digest());
          if (v != null && v.chunks[chunk] == null && manifest.verifies(chunk, bytes)) {
            handleChunk(v, "", chunk, 0, bytes);
          }
        });
  }

  /** Handles a message from another agent. */
  public void onMessage(String from, SwarmMessage message) {
    if (message instanceof SwarmMessage.ChunkData c) {
      // The link's limit is kept by taking a chunk only when its bytes would have come through.
      runAfterNanos(downlink.reserve(c.bytes().length), () -> handlePeerChunk(from, c));
      return;
    }
    duty.offer(
        () -> {
          HeldVersion v = versionByDigest.get(message.manifest());
          if (v != null) {
            execute(v, v.decider.onMessage(clockMillis.getAsLong(), from, message));
          }
        });
  }

  private void startVersion(Manifest manifest) {
    newestDigest = manifest.digest();
    if (versionByDigest.containsKey(manifest.digest())) {
      HeldVersion v = versionByDigest.remove(manifest.digest());
      versionByDigest.put(manifest.digest(), v);
      if (v.decider.isComplete()) {
        listener.onVersionComplete(manifest);
      }
      return;
    }
    HeldVersion v = new HeldVersion(manifest);
    BitSet held = new BitSet();
    for (HeldVersion old : versionByDigest.values()) {
      held = v.reuseChunks(old);
    }
    if (!options.completesSuperseded()) {
      // What was being fetched and is wanted no more must not be fetched to its end.
      versionByDigest.values().removeIf(old -> !old.decider.isComplete());
    }
    v.decider =
        new SwarmDecider(
            options.memberId(),
            options.region(),
            options.originRegion().get(),
            manifest,
            held,
            options.swarmOptions(),
            seed,
            clockMillis.getAsLong());
    versionByDigest.put(manifest.digest(), v);
    while (versionByDigest.size() > MAX_VERSIONS) {
      Iterator<String> oldest = versionByDigest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    execute(
        v, v.decider.onMembersChanged(clockMillis.getAsLong(), membersWanting(manifest.digest())));
  }

  private List<Member> membersWanting(String digest) {
    List<Member> wanting = new ArrayList<>();
    for (Member m : members) {
      boolean shared = digest.equals(newestDigest) || options.completesSuperseded();
      if (m.wants().equals(digest) || shared && membersWithNewestVersion.contains(m.id())) {
        wanting.add(m);
      }
    }
    return wanting;
  }

  private void tick() {
    long now = clockMillis.getAsLong();
    boolean due = now - progressLoggedAt >= PROGRESS_LOG_INTERVAL_MILLIS;
    for (HeldVersion v : new ArrayList<>(versionByDigest.values())) {
      if (due && !v.decider.isComplete()) {
        progressLoggedAt = now;
        LOG.info("weights under way version={} {}", v.manifest.version(), v.decider.progress(now));
      }
      execute(v, v.decider.tick(clockMillis.getAsLong()));
      heldChunkCount = v.decider.heldChunkCount();
      totalChunkCount = v.chunks.length;
    }
  }

  private void execute(HeldVersion v, List<SwarmEffect> effects) {
    if (versionByDigest.get(v.manifest.digest()) != v) {
      return;
    }
    for (SwarmEffect e : effects) {
      if (e instanceof SwarmEffect.Send s) {
        send(s.peer(), s.address(), s.message());
      } else if (e instanceof SwarmEffect.Upload u) {
        upload(v, u);
      } else if (e instanceof SwarmEffect.FetchOrigin f) {
        fetchFromOrigin(v, f.chunk());
      } else if (e instanceof SwarmEffect.Complete) {
        listener.onVersionComplete(v.manifest);
      } else if (e instanceof SwarmEffect.Log l) {
        DecisionLog.write(l.decision());
      }
    }
  }

  private void send(String peer, String address, Message message) {
    peerByAddress.put(address, peer);
    frameClient.send(address, message);
  }

  private void upload(HeldVersion v, SwarmEffect.Upload u) {
    byte[] bytes = v.chunks[u.chunk()];
    runAfterNanos(
        uplink.reserve(bytes.length),
        () -> {
          int queued = v.decider.queuedUploadCount();
          send(
              u.peer(),
              u.address(),
              new SwarmMessage.ChunkData(v.manifest.digest(), u.chunk(), queued, bytes));
          execute(v, v.decider.onUploadCompleted(clockMillis.getAsLong()));
        });
  }

  private void fetchFromOrigin(HeldVersion v, int chunk) {
    origin.read(
        v.manifest,
        chunk,
        r -> {
          if (r.isLeft()) {
            duty.offer(() -> execute(v, v.decider.onOriginFailure(clockMillis.getAsLong(), chunk)));
            return;
          }
          byte[] bytes = r.get();
          originBytesMeter.mark(bytes.length);
          runAfterNanos(downlink.reserve(bytes.length), () -> handleChunk(v, "", chunk, 0, bytes));
        });
  }

  private void handlePeerChunk(String from, SwarmMessage.ChunkData c) {
    HeldVersion v = versionByDigest.get(c.manifest());
    if (v != null) {
      peerBytesMeter.mark(c.bytes().length);
      handleChunk(v, from, c.chunk(), c.queueLength(), c.bytes());
    }
  }

  private void handleChunk(HeldVersion v, String from, int chunk, int queued, byte[] bytes) {
    boolean valid = v.manifest.verifies(chunk, bytes);
    if (!valid) {
      corruptChunksMeter.mark();
      v.corruptChunkCount++;
      if (v.corruptChunkCount % CORRUPT_CHUNKS_PER_REPORT == 0) {
        listener.onManifestSuspect(v.manifest);
      }
    } else if (v.chunks[chunk] == null) {
      v.chunks[chunk] = bytes;
    }
    execute(v, v.decider.onChunk(clockMillis.getAsLong(), from, chunk, queued, valid));
  }

  /** Runs a step on the duty after some nanoseconds. */
  private void runAfterNanos(long nanos, Runnable step) {
    if (nanos <= 0) {
      duty.offer(step);
    } else {
      timer.schedule(() -> duty.offer(step), nanos, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Who and where an agent is.
   *
   * @param memberId member id
   * @param region region it stands in
   * @param originRegion region of the origin of weights, asked for when a version begins
   * @param linkBytesPerSecond rate of the VM's link each way, 0 for no limit
   * @param linkEnforcesRate whether the link itself keeps to its rate, so that what comes in needs
   *     no limit here
   * @param swarmOptions limits of the exchange
   * @param completesSuperseded whether a version is fetched to its end although a newer one is
   *     wanted, since each must be in force in its own time
   */
  public record Options(
      String memberId,
      String region,
      Supplier<String> originRegion,
      long linkBytesPerSecond,
      boolean linkEnforcesRate,
      SwarmOptions swarmOptions,
      boolean completesSuperseded) {}

  /** Reads chunks from outside the swarm. */
  public interface ChunkSource {

    /** Reads a chunk; the answer may come on any thread, exactly once. */
    void read(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> answer);
  }

  /** Learns of whole versions; called on the duty's thread, must not block. */
  public interface Listener {

    /** Handles a version of which every chunk is held and verified. */
    void onVersionComplete(Manifest manifest);

    /** Handles a version of which so many chunks did not verify that its manifest may be spoilt. */
    default void onManifestSuspect(Manifest manifest) {}
  }

  /** Handles losses; agents answer over their own connections. */
  private final class PeerConnectionListener implements FrameClient.Listener {

    @Override
    public void onMessage(String address, Message message) {}

    @Override
    public void onDisconnect(String address) {
      String peer = peerByAddress.getOrDefault(address, "");
      duty.offer(
          () -> {
            for (HeldVersion v : new ArrayList<>(versionByDigest.values())) {
              execute(v, v.decider.onPeerLost(clockMillis.getAsLong(), peer));
            }
          });
    }

    @Override
    public void onUndelivered(String address, Message message) {
      onDisconnect(address);
    }
  }
}
