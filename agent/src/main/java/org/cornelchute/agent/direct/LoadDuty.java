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
import org.cornelchute.policy.weights.LoadDecider;
import org.cornelchute.policy.weights.LoadDecider.Engine;
import org.cornelchute.policy.weights.LoadEffect;
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

  /** Maximum number of concurrent reads or writes of chunks in the engine's store. */
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

  /** Model that the engine serves, empty until it is known. */
  private String model = "";

  private Collection<Member> agents = List.of();
  private long newestCompleteVersion;

  /** Times of the first read and of the last response of the newest read-back. */
  private long firstReadAt;

  private long lastReadAt;

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
      } else if (effect instanceof LoadEffect.StartLoad command) {
        startLoad(command);
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
    Manifest manifest = manifestByVersion.get(stage.version());
    if (manifest == null) {
      LOG.warn("staging failed because the manifest is no longer held version={}", stage.version());
      execute(decider.onStagingResult(clockMillis.getAsLong(), stage.stagingId(), false));
      return;
    }
    weightsDuty.withCompleteVersion(
        manifest.digest(), chunks -> loop.execute(() -> writeChunks(manifest, stage, chunks)));
  }

  private void writeChunks(Manifest manifest, LoadEffect.Stage stage, List<byte[]> chunks) {
    new ChunkBatch(chunks.size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .writeChunk(
                model, chunk, chunks.get(chunk), result -> onChunkProcessed(result.isRight()));
      }

      @Override
      void onAllProcessed(boolean succeeded) {
        if (succeeded) {
          verifyChunks(manifest, stage);
        } else {
          LOG.warn(
              "staging failed because the engine's store did not accept every chunk version={}",
              stage.version());
          execute(decider.onStagingResult(clockMillis.getAsLong(), stage.stagingId(), false));
        }
      }
    }.start();
  }

  /** Reads the staged chunks back and reports to the decider whether all match the manifest. */
  private void verifyChunks(Manifest manifest, LoadEffect.Stage stage) {
    firstReadAt = clockMillis.getAsLong();
    new ChunkBatch(manifest.chunks().size()) {
      @Override
      void processChunk(int chunk) {
        platform
            .engine()
            .readChunk(
                manifest,
                chunk,
                result ->
                    onChunkProcessed(result.isRight() && manifest.verifies(chunk, result.get())));
      }

      @Override
      void onAllProcessed(boolean succeeded) {
        if (!succeeded) {
          LOG.warn(
              "staging failed because chunks read back from the engine's store were missing or did"
                  + " not match the manifest version={}",
              stage.version());
        }
        lastReadAt = clockMillis.getAsLong();
        LOG.info(
            "chunks read back from the engine's store version={} matching={} readMs={}",
            stage.version(),
            succeeded,
            lastReadAt - firstReadAt);
        execute(decider.onStagingResult(lastReadAt, stage.stagingId(), succeeded));
      }
    }.start();
  }

  private void startLoad(LoadEffect.StartLoad command) {
    long sentAt = clockMillis.getAsLong();
    LOG.info(
        "sending the load command version={} sequence={} oldestReadMs={} newestReadMs={}",
        command.version(),
        command.sequence(),
        sentAt - firstReadAt,
        sentAt - lastReadAt);
    platform
        .engine()
        .startLoad(
            model,
            command.version(),
            command.sequence(),
            response -> {
              LOG.info(
                  "engine responded to the load command version={} sentMs={} oldestReadMs={}"
                      + " result={}",
                  command.version(),
                  clockMillis.getAsLong() - sentAt,
                  clockMillis.getAsLong() - firstReadAt,
                  response.fold(Failure::message, accepted -> accepted ? "accepted" : "refused"));
              execute(decider.onLoadResponse(clockMillis.getAsLong(), response.getOrElse(false)));
            });
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
              Engine engine = decider.engine();
              boolean targetLoaded =
                  engine.reachable() && engine.version() == decider.targetVersion();
              loop.schedule(
                  this::pollEngine,
                  targetLoaded ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS,
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
