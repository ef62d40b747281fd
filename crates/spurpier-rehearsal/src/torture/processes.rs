//! The machines of a deployment as processes of their own.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use crate::deployment::{
    MachineError, MachineResult, Machines, PlatformPlan, ProxyPlan, ServerPlan,
};

/// The first word of the line by which a stand-in says that it listens.
const READY_WORD: &str = "ready";
/// How long a process may take until it listens.
const START_PATIENCE: Duration = Duration::from_secs(30);
/// The time between two looks whether a proxy listens.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a planned stop may take.
const STOP_PATIENCE: Duration = Duration::from_secs(60);
const PLATFORM_NAME: &str = "platform";

/// Where the programs lie and where processes keep their files.
#[derive(Debug, Clone)]
pub struct ProcessPaths {
    /// The directory with `spurpier` and `spurpier-rehearsal`.
    pub programs: PathBuf,
    /// A directory for settings, logs and the servers' data; it must exist.
    pub work: PathBuf,
}

/// Runs each machine as a child process and ends them all when it is dropped.
#[derive(Debug)]
pub struct Processes {
    paths: ProcessPaths,
    children: Mutex<HashMap<String, Child>>,
}

impl Processes {
    /// No processes yet.
    pub fn new(paths: ProcessPaths) -> Arc<Self> {
        Arc::new(Processes {
            paths,
            children: Mutex::new(HashMap::new()),
        })
    }

    /// The process number of a machine that runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.with_children(|children| children.get(name).and_then(Child::id))
    }

    fn with_children<T>(&self, act: impl FnOnce(&mut HashMap<String, Child>) -> T) -> T {
        let mut children = self.children.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut children)
    }

    fn command(&self, program: &str, name: &str) -> MachineResult<Command> {
        let log_path = self.paths.work.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)
            .change_context_lazy(|| MachineError::new(name, "open the log of"))?;
        let mut command = Command::new(self.paths.programs.join(program));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true);
        Ok(command)
    }

    fn spawn(name: &str, command: &mut Command) -> MachineResult<Child> {
        command
            .spawn()
            .change_context_lazy(|| MachineError::new(name, "start"))
    }

    /// Starts a stand-in and waits for the line that says that it listens.
    async fn start_stand_in(&self, name: &str, mut command: Command) -> MachineResult<()> {
        let mut child = Self::spawn(name, &mut command)?;
        let output = child.stdout.take();
        let ready = async {
            let mut lines = BufReader::new(output?).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if line.starts_with(READY_WORD) {
                    return Some(lines);
                }
            }
            None
        };
        let ready = tokio::time::timeout(START_PATIENCE, ready).await;
        let Ok(Some(mut lines)) = ready else {
            return Err(Report::new(MachineError::new(name, "see the readiness of")));
        };
        // Reads on, so that the process never finds its output closed or full.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        self.keep(name, child);
        Ok(())
    }

    fn keep(&self, name: &str, child: Child) {
        self.with_children(|children| children.insert(name.to_owned(), child));
    }

    fn take(&self, name: &str) -> MachineResult<Child> {
        let child = self.with_children(|children| children.remove(name));
        child.ok_or_else(|| Report::new(MachineError::new(name, "find")))
    }

    fn signal(&self, name: &str, signal: Signal, asked: &'static str) -> MachineResult<()> {
        let id = self.process_id(name);
        let id = id.ok_or_else(|| Report::new(MachineError::new(name, "find")))?;
        send_signal(id, signal).change_context_lazy(|| MachineError::new(name, asked))
    }

    /// A file of the proxy's settings.
    fn write_settings(&self, plan: &ProxyPlan) -> MachineResult<PathBuf> {
        let path = self.paths.work.join(format!("{}.toml", plan.name));
        std::fs::write(&path, &plan.settings).change_context_lazy(|| {
            MachineError::new(plan.name.as_str(), "write the settings of")
        })?;
        Ok(path)
    }
}

fn send_signal(id: u32, signal: Signal) -> rustix::io::Result<()> {
    let id = i32::try_from(id).ok().and_then(Pid::from_raw);
    kill_process(id.ok_or(rustix::io::Errno::SRCH)?, signal)
}

impl Machines for Processes {
    async fn start_platform(&self, plan: &PlatformPlan) -> MachineResult<()> {
        let mut command = self.command("spurpier-rehearsal", PLATFORM_NAME)?;
        command
            .arg("platform")
            .args(["--listen", &plan.listen.to_string()])
            .args(["--rate", &plan.rate.to_string()])
            .args(["--list-lag-ms", &plan.list_lag.as_millis().to_string()]);
        self.start_stand_in(PLATFORM_NAME, command).await
    }

    async fn start_server(&self, plan: &ServerPlan) -> MachineResult<()> {
        let name = plan.name.as_str();
        let mut command = self.command("spurpier-rehearsal", name)?;
        add_server_arguments(&mut command, plan, &self.paths.work.join(name));
        self.start_stand_in(name, command).await
    }

    async fn start_proxy(&self, plan: &ProxyPlan) -> MachineResult<()> {
        let name = plan.name.as_str();
        let path = self.write_settings(plan)?;
        let mut command = self.command("spurpier", name)?;
        command.arg("proxy").arg("--settings").arg(path);
        command.stdout(Stdio::null());
        let child = Self::spawn(name, &mut command)?;
        self.keep(name, child);
        wait_until_listening(plan).await
    }

    async fn kill(&self, name: &str) -> MachineResult<()> {
        let mut child = self.take(name)?;
        child
            .kill()
            .await
            .change_context_lazy(|| MachineError::new(name, "kill"))
    }

    async fn stop(&self, name: &str) -> MachineResult<()> {
        self.signal(name, Signal::TERM, "stop")?;
        let mut child = self.take(name)?;
        let ended = tokio::time::timeout(STOP_PATIENCE, child.wait()).await;
        let status = ended
            .change_context_lazy(|| MachineError::new(name, "see the end of"))?
            .change_context_lazy(|| MachineError::new(name, "wait for"))?;
        if !status.success() {
            let report = Report::new(MachineError::new(name, "stop"));
            return Err(report.attach(format!("it ended with {status}")));
        }
        Ok(())
    }

    async fn freeze(&self, name: &str) -> MachineResult<()> {
        self.signal(name, Signal::STOP, "freeze")
    }

    async fn thaw(&self, name: &str) -> MachineResult<()> {
        self.signal(name, Signal::CONT, "thaw")
    }

    async fn end_all(&self) {
        let children: Vec<Child> =
            self.with_children(|children| children.drain().map(|(_, child)| child).collect());
        for mut child in children {
            // A child that has ended already needs no killing.
            let _ = child.kill().await;
        }
    }
}

fn add_server_arguments(command: &mut Command, plan: &ServerPlan, data: &Path) {
    command
        .arg("database")
        .args(["--name", plan.name.as_str()])
        .args(["--zone", plan.zone.as_str()])
        .args(["--listen", &plan.postgres.to_string()])
        .args(["--peer-listen", &plan.peer.to_string()])
        .args(["--slots", &plan.slots.to_string()])
        .args(["--connections", &plan.connections.to_string()])
        .args(["--seed", &plan.seed.to_string()])
        .arg("--data-dir")
        .arg(data);
    let cost = plan.connection_cost.as_millis().to_string();
    command.args(["--connect-cost-ms", &cost]);
    let timeout = plan.election_timeout.as_millis().to_string();
    command.args(["--election-timeout-ms", &timeout]);
    for peer in &plan.peers {
        command.args(["--peer", &format!("{}={}", peer.name, peer.address)]);
    }
}

async fn wait_until_listening(plan: &ProxyPlan) -> MachineResult<()> {
    let listening = async {
        while TcpStream::connect(plan.client).await.is_err() {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    tokio::time::timeout(START_PATIENCE, listening)
        .await
        .change_context_lazy(|| MachineError::new(plan.name.as_str(), "see the readiness of"))
}
