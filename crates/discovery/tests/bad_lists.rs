//! A list that cannot be used, on a watch or as an answer: the last good one stays, it is asked for again with a pause, and the
//! next good one is told.

mod agent;

use agent::*;
use discovery::Way;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// What is wrong with a list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Bad {
    TooLong,
    CutShort,
    NoJson,
    MemberTwice,
    UnknownPhase,
    NoAddress,
}

impl Bad {
    fn worded(self) -> String {
        let whole = list(42, true, "draining");
        match self {
            Self::TooLong => {
                whole.replacen('[', &format!("[{}", " ".repeat(proto::discovery::MAX_LIST_BYTES)), 1)
            }
            Self::CutShort => whole[..whole.len() - 2].to_owned(),
            Self::NoJson => whole.replacen(':', ";", 1),
            Self::MemberTwice => {
                let member = &whole[whole.find("{\"host").unwrap()..whole.rfind(']').unwrap()];
                whole.replacen(member, &format!("{member},{member}"), 1)
            }
            Self::UnknownPhase => whole.replacen("draining", "asleep", 1),
            Self::NoAddress => whole.replacen("10.0.0.1:6379", "nowhere", 1),
        }
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_bad_list_leaves_the_last_one_and_the_next_good_one_is_told(
    #[values(Bad::TooLong, Bad::CutShort, Bad::NoJson, Bad::MemberTwice, Bad::UnknownPhase, Bad::NoAddress)]
    bad: Bad,
    #[values(Way::Pushed, Way::Asked)] way: Way,
) {
    played(async {
        let mut agent = Agent::start(way, None);
        agent.call().await.whole(41).await;
        agent.heard(41).await;
        let mut watch = agent.watch().await;
        let told = Instant::now();
        let writing = tokio::task::spawn_local(async move {
            // A cut line ends in the middle of a list: with its connection.
            let line = bad.worded();
            let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            let _ = watch.stream.write_all(text.as_bytes()).await;
        });
        let mut again = agent.watch().await;
        assert_eq!(again.path, "/v1/endpoints?watch=1&from=41", "what was told last counts");
        let pause = again.at - told;
        // One that breaks off is no list that came: it is asked for again as behind any broken watch.
        let least = if bad == Bad::CutShort { Duration::ZERO } else { Duration::from_millis(100) };
        assert!(pause >= least && pause <= Duration::from_millis(2_400), "{bad:?}: {pause:?}");
        assert_eq!(agent.ready.borrow().len(), 1, "the host stays as it was told");
        again.drains(43).await;
        agent.heard(43).await;
        assert!(agent.ready.borrow().is_empty(), "the good one is in force");
        writing.abort();
    })
    .await;
}
