//! Tests of `discovery`.

use super::*;

/// Two names that come to one number.
fn colliding_names() -> [String; 2] {
    let mut by_number = HashMap::new();
    for n in 0u32.. {
        let name = format!("s-{n}");
        if let Some(other) = by_number.insert(number_of(&name), name.clone()) {
            return [other, name];
        }
    }
    unreachable!("there are more names than numbers");
}

fn translation() -> Translation {
    Translation { zones: Vec::new(), ids: HashMap::new(), taken: HashMap::new(), collided: false }
}

/// The numbers of the backends of a whole list.
fn numbers(translation: &mut Translation, names: &[&str]) -> Vec<u32> {
    let entry = |name: &&str| serde_json::json!({"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "SERVING"});
    let list = serde_json::json!({"generation": 1, "reset": true, "instances": names.iter().map(entry).collect::<Vec<_>>()});
    let list = serde_json::from_value(list).expect("a list");
    translation.list(list, &Clock::start()).iter().map(|listed| listed.entry.id.0).collect()
}

/// What is out to a backend must not be taken for the other's, whichever of them is gone for a while.
#[test]
fn two_backends_whose_names_come_to_one_number_are_told_apart_over_their_leaving() {
    let [a, b] = colliding_names();
    for [first, second] in [[&a, &b], [&b, &a]] {
        let mut translation = translation();
        let both = numbers(&mut translation, &[first, second]);
        assert_eq!(both[0], number_of(first));
        assert_ne!(both[0], both[1]);
        for gone in 0..2 {
            let staying = [first, second][1 - gone];
            assert_eq!(numbers(&mut translation, &[staying]), [both[1 - gone]], "{staying} is who it was");
            assert_eq!(numbers(&mut translation, &[second, first]), [both[1], both[0]], "both are, again");
        }
    }
}

/// One that is gone and forgotten leaves its number to the next.
#[test]
fn a_name_that_comes_after_the_other_was_forgotten_has_the_number_to_itself() {
    let [a, b] = colliding_names();
    let mut translation = translation();
    assert_eq!(numbers(&mut translation, &[&a]), [number_of(&a)]);
    assert!(numbers(&mut translation, &[]).is_empty());
    assert_eq!(numbers(&mut translation, &[&b]), [number_of(&b)]);
}
