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
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmDecider;
import org.cornelchute.policy.weights.SwarmEffect;
import org.cornelchute.policy.weights.SwarmOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Duty that downloads, verifies, stores and uploads chunks of weights.
 *
 * <p>Only chunks that match their digest are stored, so that a complete version is always verified.
 * The two most recently started versions are held: the version being fetched and the one before it,
 * whose unchanged chunks are reused and which other agents may still be fetching.
 */
public final class WeightsDuty implements Service {

  private static final Logger LOG = LoggerFactory.getLogger(WeightsDuty.class);
  private static final int RING_CAPACITY = 1 << 14;
  private static final long TICK_INTERVAL_MILLIS = 50;

  /** Number of corrupt chunks of a version for each notification of the listener. */
  private static final int CORRUPT_CHUNKS_PER_REPORT = 3;

  private static final int MAX_VERSIONS = 2;
  private static final long PROGRESS_LOG_INTERVAL_MILLIS = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

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

  /** Held versions by manifest digest, the most recently started version last. */
  private final Map<String, HeldVersion> versionByDigest = new LinkedHashMap<>();

  /** Member IDs by address; also read on network threads. */
  private final Map<String, String> peerByAddress = new ConcurrentHashMap<>();

  private final Meter originBytesMeter;
  private final Meter peerBytesMeter;
  private final Meter corruptChunksMeter;
  private volatile int heldChunkCount;
  private volatile int totalChunkCount;
  private Collection<Member> members = List.of();
  private Set<String> membersWithNewestVersion = Set.of();

  /** Manifest digest of the most recently started version. */
  private String newestDigest = "";

  private long progressLoggedAt;

  /**
   * Creates a duty; {@link #start()} starts its thread.
   *
   * @param options identity, location and limits of the agent
   * @param codec encodes messages to other agents
   * @param origin source of chunks outside the swarm
   * @param clockMillis monotonic clock in milliseconds
   * @param seed seed for random choices
   * @param listener notified of complete versions and suspect manifests
   * @param metrics registry for the duty's metrics
   * @param fatal called if the duty fails with an unexpected exception
   */
  public WeightsDuty(
      Options options,
      MessageCodec codec,
      ChunkSource origin,
      LongSupplier clockMillis,
      long seed,
      Listener listener,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.options = options;
    this.origin = origin;
    this.clockMillis = clockMillis;
    this.seed = seed;
    this.listener = listener;
    this.frameClient = new FrameClient(options.memberId(), codec, new PeerConnectionListener());
    this.uplink = new LinkLimiter(options.linkBytesPerSecond());
    this.downlink = new LinkLimiter(options.linkEnforcesRate() ? 0 : options.linkBytesPerSecond());
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

  /**
   * Starts to fetch a version; notifies the listener at once if the version is already complete.
   */
  public void startFetch(Manifest manifest) {
    duty.offer(() -> startVersion(manifest));
  }

  /** Cancels the fetch of a version and discards its chunks. */
  public void dropVersion(Manifest manifest) {
    duty.offer(() -> versionByDigest.remove(manifest.digest()));
  }

  /**
   * Updates the members; those that want a version become peers for it.
   *
   * @param newMembers members that are alive or suspected
   * @param assignedNewest IDs of members that are also assigned the newest version; every process
   *     computes the same placement, so they are known before gossip reports what they want
   */
  public void updateMembers(Collection<Member> newMembers, Set<String> assignedNewest) {
    duty.offer(
        () -> {
          members = newMembers;
          membersWithNewestVersion = assignedNewest;
          for (HeldVersion version : new ArrayList<>(versionByDigest.values())) {
            execute(
                version,
                version.decider.onMembersChanged(
                    clockMillis.getAsLong(), membersWanting(version.manifest.digest())));
          }
        });
  }

  /** Passes the chunks of a version to a consumer; does nothing if the version is not complete. */
  public void withCompleteVersion(String digest, Consumer<List<byte[]>> consumer) {
    withCompleteVersion(digest, consumer, () -> {});
  }

  /**
   * Passes the chunks of a version to a consumer, or runs another action if the version is not
   * complete.
   */
  public void withCompleteVersion(
      String digest, Consumer<List<byte[]>> consumer, Runnable incomplete) {
    duty.offer(
        () -> {
          HeldVersion version = versionByDigest.get(digest);
          if (version != null && version.decider.isComplete()) {
            consumer.accept(version.allChunks());
          } else {
            incomplete.run();
          }
        });
  }

  /** Adds a chunk read on this VM; ignored if it is already held or does not match its digest. */
  public void addLocalChunk(Manifest manifest, int chunk, byte[] bytes) {
    duty.offer(
        () -> {
          HeldVersion version = versionByDigest.get(manifest.digest());
          if (version != null && version.chunks[chunk] == null && manifest.verifies(chunk, bytes)) {
            handleChunk(version, "", chunk, 0, bytes);
          }
        });
  }

  /** Handles a message from another agent. */
  public void onMessage(String from, SwarmMessage message) {
    if (message instanceof SwarmMessage.ChunkData data) {
      // Delays the chunk until a link of the configured rate would have delivered it.
      runAfterNanos(downlink.reserve(data.bytes().length), () -> handlePeerChunk(from, data));
      return;
    }
    duty.offer(
        () -> {
          HeldVersion version = versionByDigest.get(message.manifest());
          if (version != null) {
            execute(version, version.decider.onMessage(clockMillis.getAsLong(), from, message));
          }
        });
  }

  private void startVersion(Manifest manifest) {
    newestDigest = manifest.digest();
    if (versionByDigest.containsKey(manifest.digest())) {
      HeldVersion version = versionByDigest.remove(manifest.digest());
      versionByDigest.put(manifest.digest(), version);
      if (version.decider.isComplete()) {
        listener.onVersionComplete(manifest);
      }
      return;
    }
    HeldVersion version = new HeldVersion(manifest);
    BitSet held = new BitSet();
    for (HeldVersion old : versionByDigest.values()) {
      held = version.reuseChunks(old);
    }
    if (!options.completesSuperseded()) {
      // Versions that are no longer wanted must not use bandwidth that the new version needs.
      versionByDigest.values().removeIf(old -> !old.decider.isComplete());
    }
    version.decider =
        new SwarmDecider(
            options.memberId(),
            options.region(),
            options.originRegion().get(),
            manifest,
            held,
            options.swarmOptions(),
            seed,
            clockMillis.getAsLong());
    versionByDigest.put(manifest.digest(), version);
    while (versionByDigest.size() > MAX_VERSIONS) {
      Iterator<String> oldest = versionByDigest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    execute(
        version,
        version.decider.onMembersChanged(
            clockMillis.getAsLong(), membersWanting(manifest.digest())));
  }

  /** Returns the members that want a version or are known to be assigned it. */
  private List<Member> membersWanting(String digest) {
    List<Member> wanting = new ArrayList<>();
    for (Member member : members) {
      boolean includeAssigned = digest.equals(newestDigest) || options.completesSuperseded();
      if (member.wants().equals(digest)
          || includeAssigned && membersWithNewestVersion.contains(member.id())) {
        wanting.add(member);
      }
    }
    return wanting;
  }

  private void tick() {
    long now = clockMillis.getAsLong();
    boolean logProgress = now - progressLoggedAt >= PROGRESS_LOG_INTERVAL_MILLIS;
    for (HeldVersion version : new ArrayList<>(versionByDigest.values())) {
      if (logProgress && !version.decider.isComplete()) {
        progressLoggedAt = now;
        LOG.info(
            "fetching chunks version={} {}",
            version.manifest.version(),
            version.decider.progress(now));
      }
      execute(version, version.decider.tick(clockMillis.getAsLong()));
      notifyIfNearlyComplete(version);
      heldChunkCount = version.decider.heldChunkCount();
      totalChunkCount = version.chunks.length;
    }
  }

  private void notifyIfNearlyComplete(HeldVersion version) {
    int missing = version.chunks.length - version.decider.heldChunkCount();
    long missingBytes = (long) missing * version.manifest.sizeOf(0);
    boolean near =
        missing > 0
            && missingBytes * MILLIS_PER_SECOND
                <= options.linkBytesPerSecond() * LoadDecider.DRAIN_MILLIS;
    if (near && !version.nearlyComplete) {
      version.nearlyComplete = true;
      listener.onVersionNearlyComplete(version.manifest);
    }
  }

  /** Executes effects of a version's decider; ignores them if the version is no longer held. */
  private void execute(HeldVersion version, List<SwarmEffect> effects) {
    if (versionByDigest.get(version.manifest.digest()) != version) {
      return;
    }
    for (SwarmEffect effect : effects) {
      if (effect instanceof SwarmEffect.Send send) {
        send(send.peer(), send.address(), send.message());
      } else if (effect instanceof SwarmEffect.Upload upload) {
        upload(version, upload);
      } else if (effect instanceof SwarmEffect.FetchOrigin fetch) {
        fetchFromOrigin(version, fetch.chunk());
      } else if (effect instanceof SwarmEffect.Complete) {
        listener.onVersionComplete(version.manifest);
      } else if (effect instanceof SwarmEffect.Log log) {
        DecisionLog.write(log.decision());
      }
    }
  }

  private void send(String peer, String address, Message message) {
    peerByAddress.put(address, peer);
    frameClient.send(address, message);
  }

  /**
   * Sends a chunk and ends the upload once the link has had the time for it. A link that enforces
   * its rate delays the bytes itself, so they are sent as soon as it is free.
   */
  private void upload(HeldVersion version, SwarmEffect.Upload upload) {
    LinkLimiter.Interval interval = uplink.reserveInterval(version.chunks[upload.chunk()].length);
    if (!options.linkEnforcesRate()) {
      runAfterNanos(
          interval.endNanos(),
          () -> {
            sendChunk(version, upload);
            completeUpload(version);
          });
      return;
    }
    runAfterNanos(interval.startNanos(), () -> sendChunk(version, upload));
    runAfterNanos(interval.endNanos(), () -> completeUpload(version));
  }

  private void sendChunk(HeldVersion version, SwarmEffect.Upload upload) {
    send(
        upload.peer(),
        upload.address(),
        new SwarmMessage.ChunkData(
            version.manifest.digest(),
            upload.chunk(),
            version.decider.queuedUploadCount(),
            version.chunks[upload.chunk()]));
  }

  private void completeUpload(HeldVersion version) {
    execute(version, version.decider.onUploadCompleted(clockMillis.getAsLong()));
  }

  private void fetchFromOrigin(HeldVersion version, int chunk) {
    origin.read(
        version.manifest,
        chunk,
        result -> {
          if (result.isLeft()) {
            duty.offer(
                () ->
                    execute(
                        version, version.decider.onOriginFailure(clockMillis.getAsLong(), chunk)));
            return;
          }
          byte[] bytes = result.get();
          originBytesMeter.mark(bytes.length);
          runAfterNanos(
              downlink.reserve(bytes.length), () -> handleChunk(version, "", chunk, 0, bytes));
        });
  }

  private void handlePeerChunk(String from, SwarmMessage.ChunkData data) {
    HeldVersion version = versionByDigest.get(data.manifest());
    if (version != null) {
      peerBytesMeter.mark(data.bytes().length);
      handleChunk(version, from, data.chunk(), data.queueLength(), data.bytes());
    }
  }

  /**
   * Verifies a chunk, stores it and reports it to the decider.
   *
   * @param from member ID of the sender, empty if the chunk came from the origin or from this VM
   * @param queueLength number of chunk requests queued at the sender
   */
  private void handleChunk(
      HeldVersion version, String from, int chunk, int queueLength, byte[] bytes) {
    boolean valid = version.manifest.verifies(chunk, bytes);
    if (!valid) {
      corruptChunksMeter.mark();
      version.corruptChunkCount++;
      if (version.corruptChunkCount % CORRUPT_CHUNKS_PER_REPORT == 0) {
        listener.onManifestSuspect(version.manifest);
      }
    } else if (version.chunks[chunk] == null) {
      version.chunks[chunk] = bytes;
    }
    execute(
        version, version.decider.onChunk(clockMillis.getAsLong(), from, chunk, queueLength, valid));
  }

  /** Runs a task on the duty's thread after a delay. */
  private void runAfterNanos(long nanos, Runnable task) {
    if (nanos <= 0) {
      duty.offer(task);
    } else {
      timer.schedule(() -> duty.offer(task), nanos, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Identity, location and limits of an agent.
   *
   * @param memberId member ID of the agent
   * @param region region of the agent
   * @param originRegion supplies the region of the origin; called when the fetch of a version
   *     starts
   * @param linkBytesPerSecond rate of the VM's link in each direction in bytes per second, 0 for no
   *     limit
   * @param linkEnforcesRate whether the link itself enforces its rate, so that received chunks are
   *     not delayed here
   * @param swarmOptions limits of the chunk exchange
   * @param completesSuperseded whether the fetch of a version continues after a newer version was
   *     started, because each version must be in force within its own time limit
   */
  public record Options(
      String memberId,
      String region,
      Supplier<String> originRegion,
      long linkBytesPerSecond,
      boolean linkEnforcesRate,
      SwarmOptions swarmOptions,
      boolean completesSuperseded) {}

  /** Source of chunks outside the swarm. */
  public interface ChunkSource {

    /** Reads a chunk; invokes the callback exactly once, on any thread. */
    void read(Manifest manifest, int chunk, Consumer<Either<Failure, byte[]>> callback);
  }

  /** Receives events of fetches; called on the duty's thread, must not block. */
  public interface Listener {

    /** Handles a version whose chunks are all held and verified. */
    void onVersionComplete(Manifest manifest);

    /**
     * Handles a version of which so few chunks are missing that the link can carry them within
     * {@link LoadDecider#DRAIN_MILLIS}; called once for each version at most, before it is
     * complete.
     */
    default void onVersionNearlyComplete(Manifest manifest) {}

    /** Handles a manifest that may be corrupt because several chunks did not match it. */
    default void onManifestSuspect(Manifest manifest) {}
  }

  /**
   * Handles lost connections to other agents; their replies arrive on connections that they open.
   */
  private final class PeerConnectionListener implements FrameClient.Listener {

    @Override
    public void onMessage(String address, Message message) {}

    @Override
    public void onDisconnect(String address) {
      String peer = peerByAddress.getOrDefault(address, "");
      duty.offer(
          () -> {
            for (HeldVersion version : new ArrayList<>(versionByDigest.values())) {
              execute(version, version.decider.onPeerLost(clockMillis.getAsLong(), peer));
            }
          });
    }

    @Override
    public void onUndelivered(String address, Message message) {
      onDisconnect(address);
    }
  }
}
