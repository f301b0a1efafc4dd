package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.agent.WeightsDuty;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.forward.WeightsSwitch;
import org.cornelchute.policy.weights.Evidence;
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.cornelchute.policy.weights.LoadEffect;
import org.cornelchute.policy.weights.LoadResponse;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwitchRank;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the effects of the {@link LoadDecider} and passes events to it.
 *
 * <p>Confined to the event loop; callbacks on the weights duty's thread are rescheduled on the
 * event loop.
 */
final class LoadDuty implements AgentPlatformListener, WeightsDuty.Listener {

  private static final Logger LOG = LoggerFactory.getLogger(LoadDuty.class);

  /** Version that engines serve until operators assign another one. */
  private static final long INITIAL_VERSION = 1;

  private static final long POLL_INTERVAL_MILLIS = 120;

  /** Poll interval while the engine serves the target version. */
  private static final long IDLE_POLL_INTERVAL_MILLIS = 700;

  /** Maximum number of chunks that are recovered from the engine's store concurrently. */
  private static final int MAX_CONCURRENT_CHUNKS = 4;

  private final EventLoop loop;
  private final AgentPlatform platform;
  private final LoadDecider decider;
  private final LongSupplier clockMillis;
  private final String region;
  private final SwitchRank rank;
  private final ManifestReader manifestReader;
  private final Map<Long, Manifest> manifestByVersion = new HashMap<>();
  private WeightsDuty weightsDuty;

  /** Staging of the load in progress; null before the first one. */
  private EngineStaging staging;

  private long stagingId;

  /** Model that the engine serves, empty until it is known. */
  private String model = "";

  private Collection<Member> agents = List.of();
  private long newestCompleteVersion;

  /** Whether the engine was reachable when its state was last logged. */
  private boolean engineReachable;

  LoadDuty(
      EventLoop loop,
      AgentPlatform platform,
      LoadDecider decider,
      LongSupplier clockMillis,
      String self,
      String region,
      long seed) {
    this.loop = loop;
    this.platform = platform;
    this.decider = decider;
    this.clockMillis = clockMillis;
    this.region = region;
    this.rank = new SwitchRank(self, region);
    this.manifestReader = new ManifestReader(loop, platform::origin, seed);
  }

  /** Sets the duty that fetches chunks; must be called once, before {@link #start()}. */
  void setWeightsDuty(WeightsDuty duty) {
    weightsDuty = duty;
  }

  /** Starts to poll the engine. */
  void start() {
    decider.onStart(clockMillis.getAsLong());
    pollEngine();
  }

  // Events

  @Override
  public void onModelConfigured(String configuredModel) {
    if (model.isEmpty()) {
      setModel(configuredModel);
      execute(decider.onVersionAssigned(clockMillis.getAsLong(), INITIAL_VERSION, 0));
    }
  }

  @Override
  public void onVersionAssigned(String assignedModel, long version, long ageMillis) {
    if (model.isEmpty()) {
      setModel(assignedModel);
    }
    if (assignedModel.equals(model)) {
      execute(decider.onVersionAssigned(clockMillis.getAsLong(), version, ageMillis));
    }
  }

  @Override
  public void onAgentsChanged(Collection<Member> allAgents) {
    agents = List.copyOf(allAgents);
    Set<String> ids = new HashSet<>();
    List<String> idsInRegion = new ArrayList<>();
    for (Member agent : allAgents) {
      ids.add(agent.id());
      if (agent.region().equals(region)) {
        idsInRegion.add(agent.id());
      }
    }
    rank.setAgents(idsInRegion);
    decider.setRank(rank.value());
    weightsDuty.updateMembers(agents, ids);
  }

  @Override
  public void onVersionNearlyComplete(Manifest manifest) {
    loop.execute(
        () ->
            execute(
                decider.onVersionNearlyComplete(
                    clockMillis.getAsLong(), Long.parseLong(manifest.version()))));
  }

  @Override
  public void onVersionComplete(Manifest manifest) {
    loop.execute(
        () -> {
          long version = Long.parseLong(manifest.version());
          LOG.info(
              "all chunks are held and verified version={} digest={}", version, manifest.digest());
          newestCompleteVersion = Math.max(newestCompleteVersion, version);
          execute(decider.onVersionComplete(clockMillis.getAsLong(), version));
        });
  }

  @Override
  public void onManifestSuspect(Manifest manifest) {
    loop.execute(
        () -> {
          LOG.warn(
              "several chunks did not match the manifest, fetching the manifest again digest={}",
              manifest.digest());
          fetchManifest(Long.parseLong(manifest.version()));
        });
  }

  private void setModel(String newModel) {
    model = newModel;
    rank.setModel(newModel);
    decider.setRank(rank.value());
  }

  // Effects

  private void execute(List<LoadEffect> effects) {
    for (LoadEffect effect : effects) {
      if (effect instanceof LoadEffect.Fetch fetch) {
        fetchManifest(fetch.version());
      } else if (effect instanceof LoadEffect.Drop drop) {
        Manifest manifest = manifestByVersion.remove(drop.version());
        if (manifest != null) {
          weightsDuty.dropVersion(manifest);
        }
      } else if (effect instanceof LoadEffect.AnnounceSwitch announcement) {
        announce(announcement.version());
      } else if (effect instanceof LoadEffect.AnnounceLoaded announcement) {
        announce(announcement.version());
      } else if (effect instanceof LoadEffect.Stage stage) {
        stage(stage);
      } else if (effect instanceof LoadEffect.RefreshStaging refresh) {
        staging.refresh(refresh.layers());
      } else if (effect instanceof LoadEffect.RecheckStaging recheck) {
        staging.recheck(recheck.orderedAt());
      } else if (effect instanceof LoadEffect.CancelStaging) {
        cancelStaging();
      } else if (effect instanceof LoadEffect.StartLoad command) {
        startLoad(command);
      } else if (effect instanceof LoadEffect.Fence command) {
        fence(command);
      } else if (effect instanceof LoadEffect.Log log) {
        DecisionLog.write(log.decision());
      }
    }
  }

  /** Notifies the entries that the engine is about to load a version, or has loaded it. */
  private void announce(long version) {
    Engine engine = decider.engine();
    platform.announce(new WeightsSwitch(engine.startMillis(), version, engine.version()));
  }

  /** Fetches the manifest of a version, with retries for as long as the version is needed. */
  private void fetchManifest(long version) {
    manifestReader.read(
        model, version, () -> decider.isNeeded(version), manifest -> startFetch(version, manifest));
  }

  private void startFetch(long version, Manifest manifest) {
    if (!decider.isNeeded(version) || manifest.equals(manifestByVersion.get(version))) {
      return;
    }
    manifestByVersion.put(version, manifest);
    decider.setLayers(version, manifest.layers());
    manifestByVersion.keySet().removeIf(v -> !decider.isNeeded(v));
    weightsDuty.startFetch(manifest);
    if (decider.engine().version() == version) {
      recoverChunksFromEngine(manifest);
    }
  }

  /**
   * Reads the chunks of the loaded version from the engine's store, so that they need not be
   * fetched over the network after a restart of the agent.
   */
  private void recoverChunksFromEngine(Manifest manifest) {
    new ChunkBatch(manifest.chunks().size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .readChunk(
                manifest,
                chunk,
                false,
                result -> {
                  result.peek(bytes -> weightsDuty.addLocalChunk(manifest, chunk, bytes));
                  onChunkProcessed(result.isRight());
                });
      }

      @Override
      void onAllProcessed(boolean succeeded) {
        LOG.info(
            "finished recovering chunks from the engine's store version={} all={}",
            manifest.version(),
            succeeded);
      }
    }.start();
  }

  /** Starts to write the chunks of a version to the engine's store and to verify them there. */
  private void stage(LoadEffect.Stage stage) {
    staging = null;
    stagingId = stage.stagingId();
    Manifest manifest = manifestByVersion.get(stage.version());
    if (manifest == null) {
      endStaging(stage, "the manifest is no longer held");
      return;
    }
    weightsDuty.withCompleteVersion(
        manifest.digest(),
        chunks -> loop.execute(() -> startStaging(stage, manifest, chunks)),
        () -> loop.execute(() -> endStaging(stage, "the chunks are no longer held")));
  }

  private void startStaging(LoadEffect.Stage stage, Manifest manifest, List<byte[]> chunks) {
    if (stage.stagingId() != stagingId) {
      return;
    }
    staging =
        new EngineStaging(
            loop,
            platform.engine(),
            manifest,
            chunks,
            manifestByVersion::values,
            clockMillis,
            new StagingListener(stage));
    staging.start();
  }

  private void cancelStaging() {
    if (staging != null) {
      staging.cancel("cancelled");
    } else {
      // The chunks are not there yet; they are ignored when they are.
      long cancelled = stagingId;
      stagingId = 0;
      loop.execute(() -> execute(decider.onStagingEnded(clockMillis.getAsLong(), cancelled)));
    }
  }

  private void endStaging(LoadEffect.Stage stage, String cause) {
    LOG.warn("staging ended version={} cause={}", stage.version(), cause);
    execute(decider.onStagingEnded(clockMillis.getAsLong(), stage.stagingId()));
  }

  private void startLoad(LoadEffect.StartLoad command) {
    long sentAt = clockMillis.getAsLong();
    platform
        .engine()
        .startLoad(
            model,
            command.version(),
            command.sequence(),
            command.layers(),
            response -> handleLoadResponse(command, sentAt, response));
  }

  private void handleLoadResponse(
      LoadEffect.StartLoad command, long sentAt, Either<Failure, Boolean> response) {
    long now = clockMillis.getAsLong();
    LoadResponse outcome =
        response.fold(
            failure ->
                failure.code() == Failure.Code.UNKNOWN
                    ? LoadResponse.UNKNOWN
                    : LoadResponse.REFUSED,
            accepted -> accepted ? LoadResponse.ACCEPTED : LoadResponse.REFUSED);
    LOG.info(
        "engine responded to the load command version={} sequence={} sentMs={} result={} cause={}",
        command.version(),
        command.sequence(),
        now - sentAt,
        outcome,
        response.fold(Failure::message, accepted -> ""));
    execute(decider.onLoadResponse(now, outcome));
  }

  private void fence(LoadEffect.Fence command) {
    long sentAt = clockMillis.getAsLong();
    platform
        .engine()
        .releaseLayers(
            model,
            command.version(),
            command.sequence(),
            command.layers(),
            response ->
                LOG.info(
                    "engine responded to the fence version={} sequence={} sentMs={} cause={}",
                    command.version(),
                    command.sequence(),
                    clockMillis.getAsLong() - sentAt,
                    response.fold(Failure::message, accepted -> "")));
  }

  // Periodic work

  private void pollEngine() {
    if (model.isEmpty()) {
      loop.schedule(this::pollEngine, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    platform
        .engine()
        .queryState(
            model,
            response -> {
              handleEngineReport(response);
              loop.schedule(
                  this::pollEngine,
                  decider.isSettled() ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS,
                  TimeUnit.MILLISECONDS);
            });
  }

  private void handleEngineReport(Either<Failure, Engine> response) {
    Engine previous = decider.engine();
    List<LoadEffect> effects =
        decider.onEngineReport(clockMillis.getAsLong(), response.getOrElse(Engine.UNREACHABLE));
    Engine reported = decider.engine();
    if (reported.reachable() != engineReachable || reported.version() != previous.version()) {
      engineReachable = reported.reachable();
      LOG.info(
          "state of the engine changed: {} cause={}",
          reported,
          response.fold(Failure::message, state -> "report"));
    }
    execute(effects);
    boolean becameReachable = !previous.reachable() && reported.reachable();
    Manifest manifest = manifestByVersion.get(reported.version());
    if (becameReachable && manifest != null && newestCompleteVersion < reported.version()) {
      recoverChunksFromEngine(manifest);
    }
  }

  /** Passes results of a staging to the decider. */
  private final class StagingListener implements EngineStaging.Listener {

    private final LoadEffect.Stage stage;

    StagingListener(LoadEffect.Stage stage) {
      this.stage = stage;
    }

    @Override
    public void onVerified(Evidence evidence) {
      long now = clockMillis.getAsLong();
      LOG.info(
          "all staged chunks are sound version={} {}", stage.version(), evidence.describe(now));
      execute(decider.onStagingVerified(now, stage.stagingId(), evidence));
    }

    @Override
    public void onRechecked(Set<Integer> changed, Set<Integer> foreign) {
      execute(
          decider.onStagingRechecked(clockMillis.getAsLong(), stage.stagingId(), changed, foreign));
    }

    @Override
    public void onEnded(String cause) {
      endStaging(stage, cause);
    }

    @Override
    public void onWriteLost() {
      decider.onWriteLost(clockMillis.getAsLong(), stage.version());
    }
  }

  /**
   * Processes every chunk of a version, a limited number of them concurrently, and reports whether
   * all succeeded.
   */
  private abstract static class ChunkBatch {

    private final int chunkCount;
    private int nextChunk;
    private int processedCount;
    private boolean allSucceeded = true;

    ChunkBatch(int chunkCount) {
      this.chunkCount = chunkCount;
    }

    /** Starts to process a chunk; {@link #onChunkProcessed} must be called when it is done. */
    abstract void processChunk(int chunk);

    /** Called once, after the last chunk was processed. */
    abstract void onAllProcessed(boolean succeeded);

    void start() {
      for (int i = 0; i < Math.min(MAX_CONCURRENT_CHUNKS, chunkCount); i++) {
        processChunk(nextChunk++);
      }
    }

    void onChunkProcessed(boolean succeeded) {
      allSucceeded &= succeeded;
      processedCount++;
      if (processedCount == chunkCount) {
        onAllProcessed(allSucceeded);
      } else if (nextChunk < chunkCount) {
        processChunk(nextChunk++);
      }
    }
  }
}
